/**
 * The measuring tool: a seeded load over real processes, compared with
 * theoretical baselines.
 */
export {
  runCentralQueue,
  runOnFastest,
  type BaselineJob,
} from './baselines/index.js';
export * from './load/index.js';
export * from './metrics/index.js';
export * from './modes/index.js';
