/**
 * Runs the program of the users' platform as a fleet and measures its resource
 * usage.
 */
export {sumProfilesByWork, type WorkTime} from './cpu_profiles.js';
export {
  launchPlatformFleet,
  type FleetProgram,
  type PlatformFleet,
} from './launch.js';
export {sendJobs, type LoadResult} from './load.js';
export {readUsage, type Usage} from './usage.js';
