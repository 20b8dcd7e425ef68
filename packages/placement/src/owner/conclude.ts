/** What follows from the outcome of one start. */
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

/** A start that runs this many times longer than expected was lost... */
const LOST_RUNS = 6;
/** ...but not before this. */
const LEAST_LOST_MS = 2_000;

/** What the owner does after one start. */
export enum ConclusionKind {
  /** The task has its answer. */
  End = 'end',
  /** It did not run: it waits again. */
  WaitAgain = 'wait-again',
  /** It may have run: only a repeatable task is started again. */
  MayRetry = 'may-retry',
  /** The owner itself gave the start up. */
  GivenUp = 'given-up',
}

/** What follows from one start. */
export type Conclusion =
  | {readonly kind: ConclusionKind.End; readonly outcome: TaskOutcome}
  | {readonly kind: ConclusionKind.WaitAgain; readonly reason: RetryReason}
  | {
      readonly kind: ConclusionKind.MayRetry;
      readonly reason: RetryReason;
      /** The end of a task that is not started again. */
      readonly failure: Failure;
    }
  | {readonly kind: ConclusionKind.GivenUp};

/** Concludes from an outcome; `gaveUp` when the owner aborted the start. */
export function conclude(
  outcome: StartOutcome,
  server: string,
  gaveUp: boolean,
): Conclusion {
  switch (outcome.kind) {
    case StartKind.Done: {
      const {result, runMs} = outcome;
      const done = {kind: OutcomeKind.Done, result, server, runMs} as const;
      return {kind: ConclusionKind.End, outcome: done};
    }
    case StartKind.Failed: {
      const {reason} = outcome;
      return mayRetry(
        RetryReason.Failed,
        createFailure(FailureCode.BackendFailed, {server, reason}),
      );
    }
    case StartKind.Busy:
      return {kind: ConclusionKind.WaitAgain, reason: RetryReason.Busy};
    case StartKind.Leaving:
      return {kind: ConclusionKind.WaitAgain, reason: RetryReason.Leaving};
    case StartKind.Refused:
      return {kind: ConclusionKind.WaitAgain, reason: RetryReason.Refused};
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
      if (gaveUp) return {kind: ConclusionKind.GivenUp};
      return mayRetry(
        RetryReason.Unknown,
        createFailure(FailureCode.OutcomeUnknown, {server}),
      );
  }
}

/** How the grant of a start ended, as its holder is told. */
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
      // Given up after far too long: the server is as good as silent.
      const lostMs = Math.max(LOST_RUNS * expectedMs, LEAST_LOST_MS);
      return elapsedMs > lostMs ? GrantEnd.Unknown : GrantEnd.Stopped;
    }
  }
}

function mayRetry(reason: RetryReason, failure: Failure): Conclusion {
  return {kind: ConclusionKind.MayRetry, reason, failure};
}
