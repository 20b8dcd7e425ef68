/** Roles of instances: settings watcher, its standby, and successors. */
export {Successors} from './successors.js';
export {
  chooseSuccessor,
  chooseSettingsWatchers,
  type SettingsWatchers,
} from './assign_roles.js';
