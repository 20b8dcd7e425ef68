/** What becomes of a job or a delegated task when it arrives. */
export * from './adoption.js';
export * from './delegation_survey.js';
export * from './earlier_runs.js';
export * from './inbound_tasks.js';
export * from './intake.js';
export * from './job_admission.js';
export * from './refusal.js';
