/** Who holds the workers of a zone. */
export * from './election.js';
export * from './token.js';
