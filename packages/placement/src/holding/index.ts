/** The holder's side: allocates the slots of the servers it holds. */
export {SlotAllocator, type SlotAllocatorOptions} from './slot_allocator.js';
