/** Evacuation of the zone by its operator. */
export * from './evacuation.js';
