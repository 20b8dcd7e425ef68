import type {FailureCode} from './codes.js';

/** A validation error: path and content of the value, and what is expected. */
export interface Problem {
  readonly path: string;
  readonly found: string;
  readonly expected: string;
}

/** The arguments of the message of each failure code. */
export interface FailureArguments {
  [FailureCode.InvalidJson]: {readonly reason: string};
  [FailureCode.InvalidRequest]: {readonly problems: readonly Problem[]};
  [FailureCode.BodyTooLarge]: {readonly limitBytes: number};
  [FailureCode.NotFound]: {readonly what: string};
  [FailureCode.MethodNotAllowed]: {readonly allowed: readonly string[]};
  [FailureCode.Unauthorized]: {readonly listener: string};
  [FailureCode.UnknownService]: {readonly service: string};
  [FailureCode.ImpossibleNeeds]: {readonly needs: string};
  [FailureCode.QueueFull]: {readonly waiting: number; readonly limit: number};
  [FailureCode.QuotaExceeded]: {readonly team: string; readonly limit: number};
  [FailureCode.WaitTooLong]: {
    readonly estimateMs: number;
    readonly deadlineMs: number;
  };
  [FailureCode.Leaving]: {readonly instance: string};
  [FailureCode.PlatformUnavailable]: {readonly reason: string};
  [FailureCode.StaleSubmission]: {readonly limitMs: number};
  [FailureCode.AttemptClosed]: {
    readonly attempt: number;
    readonly closed: number;
  };
  [FailureCode.TooManySessions]: {readonly limit: number};
  [FailureCode.SessionFull]: {readonly limit: number};
  [FailureCode.ContentConflict]: {readonly key: string};
  [FailureCode.SessionEnded]: {readonly session: string};
  [FailureCode.JobUnknown]: {readonly key: string};
  [FailureCode.AnswerExpired]: {readonly key: string};
  [FailureCode.OwnerUnreachable]: {readonly owner: string};
  [FailureCode.OwnerLost]: {readonly owner: string};
  [FailureCode.TaskFailed]: {readonly failed: number; readonly tasks: number};
  [FailureCode.Cancelled]: Readonly<Record<string, never>>;
  [FailureCode.DeadlinePassed]: {readonly deadlineMs: number};
  [FailureCode.OutcomeUnknown]: {readonly server: string};
  [FailureCode.BackendFailed]: {
    readonly server: string;
    readonly reason: string;
  };
  [FailureCode.BackendUnavailable]: {readonly pool: string};
  [FailureCode.LeaseLost]: {readonly server: string};
  [FailureCode.RetryBudgetSpent]: {readonly service: string};
  [FailureCode.SettingsConflict]: {
    readonly expected: number;
    readonly found: number;
  };
  [FailureCode.SettingsInvalid]: {readonly problems: readonly Problem[]};
  [FailureCode.SettingsUnknownNode]: {readonly node: string};
  [FailureCode.InternalFault]: {readonly part: string};
}
