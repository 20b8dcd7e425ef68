/** Holding the workers of a zone. */
export {Holder, type HolderOptions} from './holder.js';
export {toSubmission} from './to_job.js';
export {toRoom} from './rooms.js';
