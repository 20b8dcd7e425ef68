/** Start commands: their answers, those without one, and run numbers. */
export * from './late_starts.js';
export * from './run_numbers.js';
export * from './start_answer.js';
export * from './start_refusal.js';
