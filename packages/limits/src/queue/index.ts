/** Queues shared out fairly between teams. */
export * from './fair_queue.js';
export type {Place} from './line.js';
