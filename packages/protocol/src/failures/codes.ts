/** What a refusal or failure says of whether anything ran. */
export enum Ran {
  /** Nothing was started, and this attempt never will be. */
  NotRun = 'not_run',
  /** Something may have been started; it is not started again. */
  MayHaveRun = 'may_have_run',
  /** It was started and it ended. */
  Ran = 'ran',
}

/** Every refusal and failure that a caller or an operator can see. */
export enum FailureCode {
  // The request itself is wrong.
  InvalidJson = 'invalid_json',
  InvalidRequest = 'invalid_request',
  BodyTooLarge = 'body_too_large',
  NotFound = 'not_found',
  MethodNotAllowed = 'method_not_allowed',
  Unauthorized = 'unauthorized',
  UnknownService = 'unknown_service',
  ImpossibleNeeds = 'impossible_needs',
  // Refused for now.
  QueueFull = 'queue_full',
  QuotaExceeded = 'quota_exceeded',
  WaitTooLong = 'wait_too_long',
  Leaving = 'leaving',
  PlatformUnavailable = 'platform_unavailable',
  StaleSubmission = 'stale_submission',
  AttemptClosed = 'attempt_closed',
  TooManySessions = 'too_many_sessions',
  SessionFull = 'session_full',
  // Sessions, jobs and their owners.
  ContentConflict = 'content_conflict',
  SessionEnded = 'session_ended',
  JobUnknown = 'job_unknown',
  AnswerExpired = 'answer_expired',
  OwnerUnreachable = 'owner_unreachable',
  OwnerLost = 'owner_lost',
  // How a task or job failed.
  TaskFailed = 'task_failed',
  Cancelled = 'cancelled',
  DeadlinePassed = 'deadline_passed',
  OutcomeUnknown = 'outcome_unknown',
  BackendFailed = 'backend_failed',
  BackendUnavailable = 'backend_unavailable',
  LeaseLost = 'lease_lost',
  RetryBudgetSpent = 'retry_budget_spent',
  // Settings and operators.
  SettingsConflict = 'settings_conflict',
  SettingsInvalid = 'settings_invalid',
  SettingsUnknownNode = 'settings_unknown_node',
  InternalFault = 'internal_fault',
}
