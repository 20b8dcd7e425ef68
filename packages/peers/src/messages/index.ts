/** Schemas and types of the messages of the peer protocol. */
export * from './hand_over.js';
export * from './inspection.js';
export * from './membership.js';
export * from './placement.js';
export * from './relay.js';
export * from './settings.js';
