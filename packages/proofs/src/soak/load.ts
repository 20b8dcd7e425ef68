/** The load of a soak: callers that keep to the rules, and what they heard. */
import {setTimeout as pause} from 'node:timers/promises';
import {RunStatus, type JobAnswer} from '@goldcrestpier/protocol';
import {
  createJob,
  ReplyKind,
  submitPatiently,
  type Caller,
  type Ending,
  type JobBody,
} from '../caller/index.js';
import type {Stage} from '../stage/index.js';

const DEADLINE_MS = 15_000;
const LONGEST_JOB_MS = 90_000;
const CANCEL_AFTER_MS = 150;

/** One job and how it ended. */
export interface LoadedJob {
  readonly session: string;
  readonly key: string;
  readonly job: JobBody;
  /** Attempts that were refused as not run. */
  readonly notRun: readonly number[];
  /** Undefined when it never ended visibly. */
  readonly ending: Ending | undefined;
}

/** Sends jobs until `isWanted` says no more; resolves when all have ended. */
export async function runLoad(
  stage: Stage,
  callers: number,
  isWanted: () => boolean,
): Promise<LoadedJob[]> {
  const jobs: LoadedJob[] = [];
  const run = async (number: number) => {
    for (let turn = 0; isWanted(); turn += 1) {
      const loaded = await runJob(stage, number, turn);
      if (loaded !== undefined) jobs.push(loaded);
      else await pause(CANCEL_AFTER_MS);
    }
  };
  await Promise.all(Array.from({length: callers}, (_, number) => run(number)));
  return jobs;
}

/** What is wrong with how one job ended; empty when nothing is. */
export function findFaults(
  {session, key, notRun, ending}: LoadedJob,
  startsOf: ReadonlyMap<string, number>,
): string[] {
  const name = `${session}/${key}`;
  if (ending === undefined) return [`${name} never ended visibly`];
  if (ending.kind === ReplyKind.Job) {
    return findAnswerFaults(name, ending.answer, startsOf);
  }
  const {ran, code} = ending.failure;
  const isSafe = ran !== RunStatus.NotRun || !startsOf.has(name);
  const attempts = notRun.join(', ');
  return isSafe ? [] : [`${name} ran after ${code} (closed: ${attempts})`];
}

function findAnswerFaults(
  name: string,
  {tasks}: JobAnswer,
  startsOf: ReadonlyMap<string, number>,
): string[] {
  return tasks.flatMap(({index, result, failure}) => {
    const task = `${name}#${index}`;
    const starts = startsOf.get(task) ?? 0;
    const echo = (result as {echo?: unknown} | undefined)?.echo;
    if (failure === undefined) {
      const isWhole = starts === 1 && echo === index;
      return isWhole ? [] : [`${task} is done, with ${starts} starts`];
    }
    if (failure.ran === RunStatus.NotRun && starts > 0)
      return [`${task} did run`];
    return [];
  });
}

async function runJob(
  stage: Stage,
  number: number,
  turn: number,
): Promise<LoadedJob | undefined> {
  const callers = stage.entries.map(entry => stage.caller(entry));
  const mine = [...callers.slice(number % 6), ...callers.slice(0, number % 6)];
  const [first] = mine as [Caller, ...Caller[]];
  const session = await first.openSession().catch(() => undefined);
  if (session === undefined) return undefined;
  const key = `job-${number}-${turn}`;
  const job = {
    ...createJob(1 + ((number * 7 + turn) % 20), 20 + ((turn * 37) % 200)),
    deadlineMs: DEADLINE_MS,
  };
  const notRun: number[] = [];
  const submission = {
    session,
    key,
    job,
    onNotRun: (_failure: unknown, attempt: number) => notRun.push(attempt),
    signal: AbortSignal.timeout(LONGEST_JOB_MS),
  };
  if (turn % 5 === 4) void cancelLater(mine[1] ?? first, session, key);
  // Two copies race through different instances where nothing is refused.
  if (turn % 3 === 2) void mine[2]?.submit(session, key, job, {attempt: 1});
  const ending = await submitPatiently(mine, submission).catch(() => undefined);
  return {session, key, job, notRun, ending};
}

async function cancelLater(
  caller: Caller,
  session: string,
  key: string,
): Promise<void> {
  await pause(CANCEL_AFTER_MS);
  await caller.cancel(session, key);
}
