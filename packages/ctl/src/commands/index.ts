/** The commands of the program. */
export * from './apply.js';
export * from './command.js';
export * from './edits.js';
export * from './fleet.js';
export * from './jobs.js';
export * from './settings.js';
