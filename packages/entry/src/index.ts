/** An entry instance, which routes jobs between callers and backend servers. */
export {startEntry, type Entry} from './start/index.js';
