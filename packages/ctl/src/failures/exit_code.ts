/** Exit codes of the program, documented in docs/operators.md. */
import {FailureCode, type Failure} from '@goldcrestpier/protocol';
import {ProblemKind, type CtlProblem} from './problem.js';

/** Exit codes of the program. */
export enum ExitCode {
  /** The command succeeded. */
  Success = 0,
  /** The command line, a file or an environment variable is invalid. */
  Usage = 1,
  /** The instance did not respond, or its response is not valid. */
  Unreachable = 2,
  /** The token is missing or invalid. */
  Unauthorized = 3,
  /** Another edit changed the settings first; nothing was written. */
  Conflict = 4,
  /** The settings or the request are invalid; nothing was written. */
  Invalid = 5,
  /** The job, session or node does not exist. */
  NotFound = 6,
  /** The instance responded with any other failure. */
  Refused = 7,
  /** Succeeded without the data of instances that could not be reached. */
  Partial = 8,
}

/** Returns the exit code of a command that failed. */
export function getExitCode(problem: CtlProblem): ExitCode {
  switch (problem.kind) {
    case ProblemKind.Usage:
      return ExitCode.Usage;
    case ProblemKind.Unreachable:
      return ExitCode.Unreachable;
    case ProblemKind.Conflict:
      return ExitCode.Conflict;
    case ProblemKind.Refused:
      return getFailureExitCode(problem.failure);
  }
}

function getFailureExitCode({code}: Failure): ExitCode {
  switch (code) {
    case FailureCode.Unauthorized:
      return ExitCode.Unauthorized;
    case FailureCode.SettingsConflict:
      return ExitCode.Conflict;
    case FailureCode.SettingsInvalid:
    case FailureCode.InvalidRequest:
    case FailureCode.InvalidJson:
    case FailureCode.BodyTooLarge:
      return ExitCode.Invalid;
    case FailureCode.NotFound:
    case FailureCode.JobUnknown:
    case FailureCode.SettingsUnknownNode:
      return ExitCode.NotFound;
    default:
      return ExitCode.Refused;
  }
}
