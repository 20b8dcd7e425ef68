/** Roles that one instance has for others. */
export {Heirs} from './heirs.js';
export {chooseHeir, chooseWatchers, type Watchers} from './watcher.js';
