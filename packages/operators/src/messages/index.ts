/** Request and response messages of the operators' API. */
export * from './fleet.js';
export * from './settings.js';
