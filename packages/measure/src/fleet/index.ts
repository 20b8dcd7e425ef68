/** The program of the users' platform as a fleet, and what it costs. */
export {divideProfiles, type WorkShare} from './division.js';
export {
  launchPlatformFleet,
  type FleetProgram,
  type PlatformFleet,
} from './launch.js';
export {sendJobs, type SentJobs} from './load.js';
export {readUsage, type Usage} from './usage.js';
