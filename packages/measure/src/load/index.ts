/** The seeded load. */
export {
  createLoad,
  type LoadJob,
  type LoadShape,
  type LoadTask,
} from './load.js';
export {computeMean, PROFILES, type Band, type Profile} from './profiles.js';
export {createRandom, type Random} from './random.js';
