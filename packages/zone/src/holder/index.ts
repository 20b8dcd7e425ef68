/** Holding the workers of a zone. */
export {Holder} from './holder.js';
export type {HolderOptions} from './holder_options.js';
export {toSubmission} from './to_job.js';
export {outdatedRefusal} from './refusals.js';
export {toRoom} from './rooms.js';
