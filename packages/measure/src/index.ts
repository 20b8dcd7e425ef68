/** The measuring tool: a seeded load over real processes, compared with an ideal. */
export {runCentralQueue, runOnFastest, type IdealJob} from './ideal/index.js';
export * from './load/index.js';
export * from './metrics/index.js';
export * from './modes/index.js';
