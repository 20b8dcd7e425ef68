/** What operators send and what they are answered. */
export * from './fleet.js';
export * from './settings.js';
