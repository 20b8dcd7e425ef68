/** Weighted fair queueing between teams. */
export * from './fair_queue.js';
export type {QueueEntry} from './linked_list.js';
