/**
 * Which submissions of a key are refused because an earlier "not run" closed
 * them. Without this, a delayed copy runs after its client was told "not run".
 */
import {
  createFailure,
  FailureCode,
  Ran,
  type Failure,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {
  KeyKind,
  type ClosedAttempts,
  type KeyEntry,
  type Session,
} from '../sessions/index.js';
import type {ArrivedSubmission} from './types.js';

/** The attempt that a submission stands for, or why it is refused. */
export type AttemptVerdict =
  | {readonly open: true; readonly attempt: number}
  | {readonly open: false; readonly failure: Failure};

/** Decides whether a submission may still be tried. */
export function judgeAttempt(
  entry: KeyEntry | undefined,
  attempt: number | undefined,
  now: Millis,
): AttemptVerdict {
  const closedUpTo = readClosedUpTo(entry);
  if (attempt !== undefined) return judgeNumbered(attempt, closedUpTo);
  if (entry?.kind !== KeyKind.Closed || now >= entry.until) {
    return {open: true, attempt: closedUpTo + 1};
  }
  const failure = describeClosed(closedUpTo, closedUpTo, entry.until - now);
  return {open: false, failure};
}

/**
 * Closes a key anew that a copy without an attempt finds closed at `now`. Else
 * another copy, received before this "not run", would still be young enough to
 * run when the earlier closing ends.
 */
export function keepClosed(
  session: Session,
  {key, attempt}: ArrivedSubmission,
  now: Millis,
  maxCopyAgeMs: Millis,
): void {
  const entry = session.find(key);
  if (attempt !== undefined || entry?.kind !== KeyKind.Closed) return;
  if (now >= entry.until) return;
  const until = Math.max(entry.until, now + maxCopyAgeMs);
  session.set(key, {...entry, until});
}

/** The highest attempt of a key that was refused as "not run"; 0 for none. */
export function readClosedUpTo(entry: KeyEntry | undefined): number {
  if (entry === undefined) return 0;
  switch (entry.kind) {
    case KeyKind.Closed:
      return entry.upTo;
    case KeyKind.Job:
      return entry.closedUpTo;
  }
}

/** Closes `attempt` and all below it. */
export function closeAttempt(
  attempt: number,
  failure: Failure,
  until: Millis,
): ClosedAttempts {
  return {kind: KeyKind.Closed, upTo: attempt, until, failure};
}

/** Whether an ended job left nothing run, so that its key may be tried anew. */
export function mayTryAnew(
  entry: KeyEntry | undefined,
  attempt: number | undefined,
): boolean {
  if (entry?.kind !== KeyKind.Job || attempt === undefined) return false;
  return entry.job.endedWithoutRunning && attempt > entry.job.header.attempt;
}

function judgeNumbered(attempt: number, closedUpTo: number): AttemptVerdict {
  if (attempt > closedUpTo) return {open: true, attempt};
  return {open: false, failure: describeClosed(attempt, closedUpTo, 0)};
}

function describeClosed(
  attempt: number,
  closed: number,
  retryAfterMs: Millis,
): Failure {
  return createFailure(
    FailureCode.AttemptClosed,
    {attempt, closed},
    {ran: Ran.NotRun, retryAfterMs},
  );
}
