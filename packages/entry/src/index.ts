/** The goldcrestpier program: an entry instance. */
export {startEntry, type Entry} from './start/index.js';
