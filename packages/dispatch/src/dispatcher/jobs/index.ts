/** The jobs that a holder has, their tasks, and the order in which they are placed. */
export * from './abandoned_jobs.js';
export * from './answerable_jobs.js';
export * from './ended_job.js';
export * from './job_order.js';
export * from './job_record.js';
export * from './progress.js';
export * from './task_index.js';
export * from './task_record.js';
