/** Checks of a configuration; kept out of what an instance loads. */
export type {Candidate, CandidateQueue, ServiceEntry} from './candidate.js';
export {checkConfiguration} from './check_configuration.js';
export type {ProgramLimits} from './check_limits.js';
export {compareConfigurations, type Difference} from './compare.js';
export {
  FindingCode,
  getSeverity,
  Severity,
  type Finding,
  type Place,
} from './finding.js';
