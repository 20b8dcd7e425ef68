/** The owner's side: task queues, late binding and starts. */
export {Owner, type OwnerOptions, type PoolWaiting} from './owner.js';
