/**
 * Rejects submissions whose attempt was closed by an earlier "not run" answer.
 * Otherwise a delayed duplicate of a submission could run after the client had
 * received "not run" for it.
 */
import {
  createFailure,
  FailureCode,
  RunStatus,
  type Failure,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {KeyKind, type KeyEntry, type Session} from '../sessions/index.js';
import type {ReceivedSubmission} from './types.js';

/** The attempt number of a submission, or the reason why it is refused. */
export type AttemptCheck =
  | {readonly isAllowed: true; readonly attempt: number}
  | {readonly isAllowed: false; readonly failure: Failure};

/**
 * Checks whether a submission may still run. A submission without an attempt
 * number is refused until the closed period of its key has passed.
 */
export function checkAttempt(
  entry: KeyEntry | undefined,
  attempt: number | undefined,
  now: Millis,
): AttemptCheck {
  const closedUpTo = getClosedUpTo(entry);
  if (attempt !== undefined) return checkNumberedAttempt(attempt, closedUpTo);
  if (entry?.kind !== KeyKind.Closed || now >= entry.closedUntil) {
    return {isAllowed: true, attempt: closedUpTo + 1};
  }
  const failure = createAttemptClosedFailure(
    closedUpTo,
    closedUpTo,
    entry.closedUntil - now,
  );
  return {isAllowed: false, failure};
}

/**
 * Extends the closed period of a key when a submission without an attempt
 * number arrives during it. Otherwise another copy, received before this
 * "not run" answer, could still be below the maximum age, and therefore run,
 * when the original period ends.
 */
export function extendClosure(
  session: Session,
  {key, attempt}: ReceivedSubmission,
  now: Millis,
  maxCopyAgeMs: Millis,
): void {
  const entry = session.find(key);
  if (attempt !== undefined || entry?.kind !== KeyKind.Closed) return;
  if (now >= entry.closedUntil) return;
  const closedUntil = Math.max(entry.closedUntil, now + maxCopyAgeMs);
  session.set(key, {...entry, closedUntil});
}

/** The highest attempt of a key that was refused as "not run"; 0 if none. */
export function getClosedUpTo(entry: KeyEntry | undefined): number {
  if (entry === undefined) return 0;
  switch (entry.kind) {
    case KeyKind.Closed:
      return entry.upTo;
    case KeyKind.Job:
      return entry.closedUpTo;
  }
}

/** An attempt that is about to be answered "not run", and why. */
export interface RefusedAttempt {
  readonly attempt: number;
  readonly failure: Failure;
}

/**
 * Closes a refused attempt and all lower ones, before the "not run" answer is
 * sent. Returns the failure to answer with: without attempt numbers, a retry
 * has to wait until every copy is stale.
 */
export function closeRefusedAttempt(
  session: Session,
  submission: ReceivedSubmission,
  {attempt, failure}: RefusedAttempt,
  now: Millis,
  maxCopyAgeMs: Millis,
): Failure {
  const closedPeriodMs = Math.max(failure.retryAfterMs ?? 0, maxCopyAgeMs);
  session.set(submission.key, {
    kind: KeyKind.Closed,
    upTo: attempt,
    closedUntil: now + closedPeriodMs,
    failure,
  });
  if (submission.attempt !== undefined || failure.final) return failure;
  return {...failure, retryAfterMs: Math.ceil(closedPeriodMs)};
}

/**
 * Whether a submission may replace a job that ended without running: its
 * attempt has to be higher than that of the job.
 */
export function canRetryKey(
  entry: KeyEntry | undefined,
  attempt: number | undefined,
): boolean {
  if (entry?.kind !== KeyKind.Job || attempt === undefined) return false;
  return entry.job.hasEndedWithoutRunning && attempt > entry.job.header.attempt;
}

function checkNumberedAttempt(
  attempt: number,
  closedUpTo: number,
): AttemptCheck {
  if (attempt > closedUpTo) return {isAllowed: true, attempt};
  return {
    isAllowed: false,
    failure: createAttemptClosedFailure(attempt, closedUpTo, 0),
  };
}

function createAttemptClosedFailure(
  attempt: number,
  closed: number,
  retryAfterMs: Millis,
): Failure {
  return createFailure(
    FailureCode.AttemptClosed,
    {attempt, closed},
    {ran: RunStatus.NotRun, retryAfterMs},
  );
}
