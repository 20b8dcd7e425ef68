/** Resubmits a job by the rules for attempts until it has ended. */
import {setTimeout as pause} from 'node:timers/promises';
import {
  JobState,
  RunStatus,
  type Failure,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {ReplyKind, type Caller, type JobBody} from './index.js';

const RETRY_DELAY_MS = 100;
const LONG_POLL_MS = 5_000;

/** The reply that ended a submission. */
export type FinalReply =
  | {readonly kind: ReplyKind.Answer; readonly answer: JobAnswer}
  | {readonly kind: ReplyKind.Failure; readonly failure: Failure};

/** A job to submit. */
export interface Submission {
  readonly session: string;
  readonly key: string;
  readonly job: JobBody;
  /** Called for each "not run" failure, with the attempt that it closes. */
  readonly onNotRun?: (failure: Failure, attempt: number) => void;
  /** Stops the retries; the last failure is then the result. */
  readonly signal?: AbortSignal;
}

/**
 * Submits through `callers` in turn until the job has ended or its failure is
 * final. A new attempt number is used only after a "not run" failure. Throws
 * when `signal` aborts and the last call brought no failure.
 */
export async function submitUntilEnded(
  callers: readonly Caller[],
  {session, key, job, onNotRun, signal}: Submission,
): Promise<FinalReply> {
  let attempt = 1;
  for (let callIndex = 0; ; callIndex += 1) {
    const caller = callers[callIndex % callers.length];
    if (caller === undefined) throw new Error('no callers were given');
    const options = {attempt, waitMs: LONG_POLL_MS};
    const reply = await caller.submit(session, key, job, options);
    if (reply.kind === ReplyKind.Answer) {
      if (isEnded(reply.answer)) return reply;
    } else if (reply.kind === ReplyKind.Failure) {
      const {failure} = reply;
      if (failure.ran === RunStatus.NotRun) onNotRun?.(failure, attempt);
      if (failure.final || signal?.aborted === true) return reply;
      if (failure.ran === RunStatus.NotRun) attempt += 1;
    }
    if (signal?.aborted === true)
      throw new Error(`no final answer for job ${key} before the abort`);
    await pause(RETRY_DELAY_MS);
  }
}

/** Whether the job has ended. */
export function isEnded({state}: JobAnswer): boolean {
  return state !== JobState.Running;
}
