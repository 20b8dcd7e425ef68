/** Jobs that other zones may still run though nobody waits for them there. */
export * from './remote_runs.js';
