/** Decides how to proceed after the outcome of one start. */
import {StartKind, type StartOutcome} from '@goldcrestpier/backends';
import {GrantEnd} from '@goldcrestpier/peers';
import {
  createFailure,
  FailureCode,
  OutcomeKind,
  type Failure,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {RetryReason} from '../counters.js';

/** A start counts as lost after this multiple of its expected run time. */
const LOST_AFTER_RUN_TIMES = 6;
/** Minimum time before a start counts as lost. */
const MIN_LOST_MS = 2_000;

/** What the owner does after a start. */
export enum StartDecisionKind {
  /** The task has its final answer. */
  End = 'end',
  /** The task did not run and is requeued. */
  Requeue = 'wait-again',
  /** The task may have run; only a repeatable task is retried. */
  MayRetry = 'may-retry',
  /** The owner aborted the start. */
  Aborted = 'given-up',
}

/** The decision after one start. */
export type StartDecision =
  | {readonly kind: StartDecisionKind.End; readonly outcome: TaskOutcome}
  | {readonly kind: StartDecisionKind.Requeue; readonly reason: RetryReason}
  | {
      readonly kind: StartDecisionKind.MayRetry;
      readonly reason: RetryReason;
      /** The final failure if the task is not retried. */
      readonly failure: Failure;
    }
  | {readonly kind: StartDecisionKind.Aborted};

/** Decides from an outcome; `wasAborted` if the owner aborted the start. */
export function decideAfterStart(
  outcome: StartOutcome,
  server: string,
  wasAborted: boolean,
): StartDecision {
  switch (outcome.kind) {
    case StartKind.Done: {
      const {result, runMs} = outcome;
      const done = {kind: OutcomeKind.Done, result, server, runMs} as const;
      return {kind: StartDecisionKind.End, outcome: done};
    }
    case StartKind.Failed: {
      const {reason} = outcome;
      return mayRetry(
        RetryReason.Failed,
        createFailure(FailureCode.BackendFailed, {server, reason}),
      );
    }
    case StartKind.Busy:
      return {kind: StartDecisionKind.Requeue, reason: RetryReason.Busy};
    case StartKind.Leaving:
      return {kind: StartDecisionKind.Requeue, reason: RetryReason.Leaving};
    case StartKind.Refused:
      return {kind: StartDecisionKind.Requeue, reason: RetryReason.Refused};
    case StartKind.Unknown:
      return mayRetry(
        RetryReason.Unknown,
        createFailure(FailureCode.OutcomeUnknown, {server}),
      );
    case StartKind.LeaseLost:
      return mayRetry(
        RetryReason.LeaseLost,
        createFailure(FailureCode.LeaseLost, {server}),
      );
    case StartKind.Stopped:
      if (wasAborted) return {kind: StartDecisionKind.Aborted};
      return mayRetry(
        RetryReason.Unknown,
        createFailure(FailureCode.OutcomeUnknown, {server}),
      );
  }
}

/** Maps the outcome of a start to the end of its grant for the holder. */
export function toGrantEnd(
  outcome: StartOutcome,
  elapsedMs: Millis,
  expectedMs: Millis,
): GrantEnd {
  switch (outcome.kind) {
    case StartKind.Done:
      return GrantEnd.Done;
    case StartKind.Failed:
      return GrantEnd.Failed;
    case StartKind.Busy:
      return GrantEnd.Busy;
    case StartKind.Leaving:
      return GrantEnd.Leaving;
    case StartKind.Refused:
      return GrantEnd.Unreachable;
    case StartKind.Unknown:
    case StartKind.LeaseLost:
      return GrantEnd.Unknown;
    case StartKind.Stopped: {
      // Aborted long after the expected end: the server is unresponsive.
      const lostMs = Math.max(LOST_AFTER_RUN_TIMES * expectedMs, MIN_LOST_MS);
      return elapsedMs > lostMs ? GrantEnd.Unknown : GrantEnd.Stopped;
    }
  }
}

function mayRetry(reason: RetryReason, failure: Failure): StartDecision {
  return {kind: StartDecisionKind.MayRetry, reason, failure};
}
