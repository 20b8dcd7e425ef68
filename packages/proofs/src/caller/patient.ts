/** A caller that keeps to the rules of attempts until it has an answer. */
import {setTimeout as pause} from 'node:timers/promises';
import {
  JobState,
  RunStatus,
  type Failure,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {ReplyKind, type Caller, type JobBody} from './index.js';

const PAUSE_MS = 100;
const WAIT_MS = 5_000;

/** How a submission ended at last. */
export type Ending =
  | {readonly kind: ReplyKind.Job; readonly answer: JobAnswer}
  | {readonly kind: ReplyKind.Failure; readonly failure: Failure};

/** A job on its way. */
export interface Submission {
  readonly session: string;
  readonly key: string;
  readonly job: JobBody;
  /** Tells of each "not run", with the attempt that it closes. */
  readonly onNotRun?: (failure: Failure, attempt: number) => void;
  /** Ends the asking; the last failure is then the ending. */
  readonly signal?: AbortSignal;
}

/**
 * Submits through each of `callers` in turn until the job has ended or failed
 * for good. The next attempt is sent only after a "not run".
 */
export async function submitPatiently(
  callers: readonly Caller[],
  {session, key, job, onNotRun, signal}: Submission,
): Promise<Ending> {
  let attempt = 1;
  for (let turn = 0; ; turn += 1) {
    const caller = callers[turn % callers.length];
    if (caller === undefined) throw new Error('there is no caller');
    const choice = {attempt, waitMs: WAIT_MS};
    const reply = await caller.submit(session, key, job, choice);
    if (reply.kind === ReplyKind.Job) {
      if (isEnded(reply.answer)) return reply;
    } else if (reply.kind === ReplyKind.Failure) {
      const {failure} = reply;
      if (failure.ran === RunStatus.NotRun) onNotRun?.(failure, attempt);
      if (failure.final || signal?.aborted === true) return reply;
      if (failure.ran === RunStatus.NotRun) attempt += 1;
    }
    if (signal?.aborted === true) throw new Error(`no answer for ${key}`);
    await pause(PAUSE_MS);
  }
}

/** Whether an answer is the last one of its job. */
export function isEnded({state}: JobAnswer): boolean {
  return state !== JobState.Running;
}
