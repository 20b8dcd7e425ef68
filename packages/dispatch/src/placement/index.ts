/** Which worker runs a task. */
export * from './choose_worker.js';
