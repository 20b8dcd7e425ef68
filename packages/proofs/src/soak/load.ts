/** The load of a soak test: callers that follow the rules for attempts. */
import {setTimeout as pause} from 'node:timers/promises';
import {RunStatus, type JobAnswer} from '@goldcrestpier/protocol';
import {
  createJob,
  ReplyKind,
  submitUntilEnded,
  type Caller,
  type FinalReply,
  type JobBody,
} from '../caller/index.js';
import type {ClusterFixture} from '../fixture/index.js';

const DEADLINE_MS = 15_000;
const JOB_TIMEOUT_MS = 90_000;
const CANCEL_DELAY_MS = 150;

/** A job that was sent, and its final reply. */
export interface SoakJob {
  readonly session: string;
  readonly key: string;
  readonly job: JobBody;
  /** Attempts that were refused as "not run". */
  readonly refusedAttempts: readonly number[];
  /** Undefined when no final reply came in 90 s. */
  readonly finalReply: FinalReply | undefined;
}

/**
 * Sends jobs while `shouldContinue` returns true; resolves when all have ended.
 */
export async function runLoad(
  fixture: ClusterFixture,
  callerCount: number,
  shouldContinue: () => boolean,
): Promise<SoakJob[]> {
  const jobs: SoakJob[] = [];
  const run = async (callerIndex: number) => {
    for (let jobIndex = 0; shouldContinue(); jobIndex += 1) {
      const job = await runJob(fixture, callerIndex, jobIndex);
      if (job !== undefined) jobs.push(job);
      else await pause(CANCEL_DELAY_MS);
    }
  };
  await Promise.all(
    Array.from({length: callerCount}, (_, callerIndex) => run(callerIndex)),
  );
  return jobs;
}

/** Lists the violations of guarantees in the final reply of one job. */
export function findViolations(
  {session, key, refusedAttempts, finalReply}: SoakJob,
  startsOf: ReadonlyMap<string, number>,
): string[] {
  const name = `${session}/${key}`;
  if (finalReply === undefined) return [`${name} got no final reply`];
  if (finalReply.kind === ReplyKind.Answer) {
    return findAnswerViolations(name, finalReply.answer, startsOf);
  }
  const {ran, code} = finalReply.failure;
  const isSafe = ran !== RunStatus.NotRun || !startsOf.has(name);
  const attempts = refusedAttempts.join(', ');
  return isSafe
    ? []
    : [`${name} ran though refused as not run: ${code} (attempts ${attempts})`];
}

function findAnswerViolations(
  name: string,
  {tasks}: JobAnswer,
  startsOf: ReadonlyMap<string, number>,
): string[] {
  return tasks.flatMap(({index, result, failure}) => {
    const task = `${name}#${index}`;
    const starts = startsOf.get(task) ?? 0;
    const echo = (result as {echo?: unknown} | undefined)?.echo;
    if (failure === undefined) {
      const isCorrect = starts === 1 && echo === index;
      return isCorrect
        ? []
        : [`${task} is done with ${starts} starts or a wrong result`];
    }
    if (failure.ran === RunStatus.NotRun && starts > 0)
      return [`${task} ran though reported as not run`];
    return [];
  });
}

async function runJob(
  fixture: ClusterFixture,
  callerIndex: number,
  jobIndex: number,
): Promise<SoakJob | undefined> {
  const callers = fixture.entries.map(entry => fixture.createCaller(entry));
  const orderedCallers = [
    ...callers.slice(callerIndex % 6),
    ...callers.slice(0, callerIndex % 6),
  ];
  const [firstCaller] = orderedCallers as [Caller, ...Caller[]];
  const session = await firstCaller.openSession().catch(() => undefined);
  if (session === undefined) return undefined;
  const key = `job-${callerIndex}-${jobIndex}`;
  const job = {
    ...createJob(
      1 + ((callerIndex * 7 + jobIndex) % 20),
      20 + ((jobIndex * 37) % 200),
    ),
    deadlineMs: DEADLINE_MS,
  };
  const refusedAttempts: number[] = [];
  const submission = {
    session,
    key,
    job,
    onNotRun: (_failure: unknown, attempt: number) =>
      refusedAttempts.push(attempt),
    signal: AbortSignal.timeout(JOB_TIMEOUT_MS),
  };
  if (jobIndex % 5 === 4)
    void cancelAfterDelay(orderedCallers[1] ?? firstCaller, session, key);
  // A second copy of attempt 1 races the first through another instance.
  if (jobIndex % 3 === 2)
    void orderedCallers[2]?.submit(session, key, job, {attempt: 1});
  const finalReply = await submitUntilEnded(orderedCallers, submission).catch(
    () => undefined,
  );
  return {session, key, job, refusedAttempts, finalReply};
}

async function cancelAfterDelay(
  caller: Caller,
  session: string,
  key: string,
): Promise<void> {
  await pause(CANCEL_DELAY_MS);
  await caller.cancelJob(session, key);
}
