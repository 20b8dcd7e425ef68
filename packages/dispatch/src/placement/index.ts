/** Which worker runs a task. */
export * from './chance.js';
export * from './choose_worker.js';
export * from './prospects.js';
