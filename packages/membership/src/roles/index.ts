/** Roles that one instance has for others. */
export {Successors} from './successors.js';
export {chooseSuccessor, chooseWatchers, type Watchers} from './watcher.js';
