/** Leader election: which instance is the holder of a zone. */
export * from './election.js';
export * from './holder_succession.js';
export * from './token.js';
