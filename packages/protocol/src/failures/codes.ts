/** Whether a refused or failed request may have run. */
export enum RunStatus {
  /** Nothing was started, and this attempt will never be started. */
  NotRun = 'not_run',
  /** Something may have been started; it will not be started again. */
  MayHaveRun = 'may_have_run',
  /** The task was started and has ended. */
  Ran = 'ran',
}

/** Codes of all refusals and failures reported to clients and operators. */
export enum FailureCode {
  // Invalid requests.
  InvalidJson = 'invalid_json',
  InvalidRequest = 'invalid_request',
  BodyTooLarge = 'body_too_large',
  NotFound = 'not_found',
  MethodNotAllowed = 'method_not_allowed',
  Unauthorized = 'unauthorized',
  UnknownService = 'unknown_service',
  ImpossibleNeeds = 'impossible_needs',
  // Valid requests that are refused at present.
  QueueFull = 'queue_full',
  QuotaExceeded = 'quota_exceeded',
  WaitTooLong = 'wait_too_long',
  Leaving = 'leaving',
  PlatformUnavailable = 'platform_unavailable',
  StaleSubmission = 'stale_submission',
  AttemptClosed = 'attempt_closed',
  TooManySessions = 'too_many_sessions',
  SessionFull = 'session_full',
  // Failures of sessions, jobs and session owners.
  ContentConflict = 'content_conflict',
  SessionEnded = 'session_ended',
  JobUnknown = 'job_unknown',
  AnswerExpired = 'answer_expired',
  OwnerUnreachable = 'owner_unreachable',
  OwnerLost = 'owner_lost',
  // Failures of tasks and jobs.
  TaskFailed = 'task_failed',
  Cancelled = 'cancelled',
  DeadlinePassed = 'deadline_passed',
  OutcomeUnknown = 'outcome_unknown',
  BackendFailed = 'backend_failed',
  BackendUnavailable = 'backend_unavailable',
  LeaseLost = 'lease_lost',
  RetryBudgetSpent = 'retry_budget_spent',
  // Failures of settings edits, and internal errors.
  SettingsConflict = 'settings_conflict',
  SettingsInvalid = 'settings_invalid',
  SettingsUnknownNode = 'settings_unknown_node',
  InternalFault = 'internal_fault',
}
