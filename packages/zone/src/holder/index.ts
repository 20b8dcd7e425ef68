/** The holder: the zone's leader, which dispatches tasks to its workers. */
export {Holder} from './holder.js';
export type {HolderOptions} from './holder_options.js';
export {toSubmission} from './job_conversion.js';
export {notHolderAnswer, outdatedRefusal} from './refusals.js';
export {toZoneCapacity} from './free_capacity.js';
