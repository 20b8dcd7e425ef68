/** The owner's side: queues, late binding and starts. */
export {Owner, type OwnerParts, type PoolWaiting} from './owner.js';
