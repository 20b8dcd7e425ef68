/** Generates loads from a seed. */
export {
  createLoad,
  type LoadJob,
  type LoadOptions,
  type LoadTask,
} from './load.js';
export {
  computeMean,
  LOAD_PROFILES,
  type LogUniformRange,
  type LoadProfile,
} from './profiles.js';
export {createRandom, type Random} from './random.js';
