/** One round: a load sent at its times, and what came of it. */
import type {StartRecord} from '@goldcrestpier/standins';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Caller, EndKind, type JobEnd} from '../caller/index.js';
import {readFigures, SERVICE, type Fleet} from '../cluster/index.js';
import type {LoadJob} from '../load/index.js';
import {subtractFigures, sumOf, type Figures} from '../metrics/index.js';
import {runFaults} from './faults.js';

const PROGRESS_MS = 1_000;
const COPY_AFTER_MS = 20;

/** How a round is run. */
export interface RoundOptions {
  readonly name: string;
  readonly seconds: number;
  readonly hasFaults: boolean;
  /** Whether refused jobs are left refused. */
  readonly isTriedOnce: boolean;
  /** How long a job may take. */
  readonly deadlineMs: number;
}

/** What came of one round. */
export interface Round {
  readonly jobs: readonly LoadJob[];
  /** In the order of the jobs. */
  readonly ends: readonly JobEnd[];
  /** Every start at the servers, by the key of its job. */
  readonly starts: ReadonlyMap<string, readonly TimedStart[]>;
  /** What each instance counted during the round. */
  readonly figures: readonly Figures[];
  /** Resident memory of each instance after it. */
  readonly residentBytes: readonly number[];
  readonly tookMs: number;
}

/** A start with the time at which it should have ended. */
export interface TimedStart {
  readonly index: number;
  /** From the time of its job in the load, in milliseconds. */
  readonly responseMs: number;
  /** From the same time to its start, in milliseconds. */
  readonly waitMs: number;
}

/** Sends `jobs` at their times and waits until all have ended. */
export async function runRound(
  fleet: Fleet,
  jobs: readonly LoadJob[],
  options: RoundOptions,
): Promise<Round> {
  const {cluster} = fleet;
  for (const {admin} of cluster.runners) await admin.clearStarts();
  const callers = cluster.entries.map(({url}) => new Caller(url));
  await Promise.all(callers.map(caller => caller.open()));
  const before = await readFigures(cluster.entries);
  const startAt = readClock();
  const startDate = Date.now();
  const ended = {count: 0};
  const progress = showProgress(options.name, jobs.length, ended);
  const faults = options.hasFaults
    ? runFaults(fleet, options.seconds * 1_000)
    : undefined;
  const ends = await Promise.all(
    jobs.map(async job => {
      await sleep(startAt + job.atMs - readClock());
      const end = await sendJob(job, callers, startAt, options);
      ended.count += 1;
      return end;
    }),
  );
  await faults;
  clearInterval(progress);
  const tookMs = readClock() - startAt;
  const after = await readFigures(cluster.entries);
  const starts = await cluster.readStarts();
  await Promise.all(callers.map(caller => caller.close()));
  return {
    jobs,
    ends,
    starts: timeStarts(starts, jobs, fleet, startDate),
    figures: after.map((each, index) =>
      subtractFigures(each, before[index] ?? new Map<string, number>()),
    ),
    residentBytes: after.map(each =>
      sumOf(each, 'process_resident_memory_bytes'),
    ),
    tookMs,
  };
}

async function sendJob(
  job: LoadJob,
  callers: readonly Caller[],
  startAt: number,
  {isTriedOnce, deadlineMs}: RoundOptions,
): Promise<JobEnd> {
  const caller = callers[job.entry];
  if (caller === undefined) throw new Error(`no entry ${job.entry}`);
  const submission = {
    key: job.key,
    body: writeBody(job, deadlineMs),
    dueAt: startAt + job.atMs,
    isTriedOnce,
  };
  const answer = caller.submit(submission);
  const copy = sendCopy();
  if (job.cancelAtMs !== undefined) {
    await sleep(startAt + job.cancelAtMs - readClock());
    await caller.cancel(job.key);
  }
  await copy;
  return answer;

  async function sendCopy(): Promise<void> {
    const other = job.copyTo === undefined ? undefined : callers[job.copyTo];
    if (other === undefined || caller === undefined) return;
    await sleep(COPY_AFTER_MS);
    await other.submit(submission, await caller.open());
  }
}

function writeBody({team, tasks}: LoadJob, deadlineMs: number): string {
  return JSON.stringify({
    team,
    deadlineMs,
    tasks: tasks.map(({workMs, declaredMs}) => ({
      service: SERVICE,
      declaredMs,
      payload: {runMs: workMs},
    })),
  });
}

/** Tells when each start ends, by the speed of the server it came to. */
function timeStarts(
  starts: readonly StartRecord[],
  jobs: readonly LoadJob[],
  {speeds}: Fleet,
  startDate: number,
): Map<string, TimedStart[]> {
  const byKey = new Map(jobs.map(job => [job.key, job]));
  const timed = new Map<string, TimedStart[]>();
  for (const {job: name, task, at, server} of starts) {
    const key = name.slice(name.lastIndexOf('/') + 1);
    const index = Number(task.slice(task.lastIndexOf('#') + 1));
    const job = byKey.get(key);
    const work = job?.tasks[index];
    if (job === undefined || work === undefined) continue;
    const runMs = work.workMs / (speeds.get(server) ?? 1);
    const waitMs = at - startDate - job.atMs;
    const start = {index, responseMs: waitMs + runMs, waitMs};
    timed.set(key, [...(timed.get(key) ?? []), start]);
  }
  return timed;
}

function showProgress(
  name: string,
  jobs: number,
  ended: {readonly count: number},
): NodeJS.Timeout {
  return setInterval(() => {
    process.stderr.write(`\r${name}: ${ended.count} of ${jobs} jobs ended   `);
    if (ended.count === jobs) process.stderr.write('\n');
  }, PROGRESS_MS);
}

/** Whether a job was answered whole. */
export function isGood({kind}: JobEnd): boolean {
  return kind === EndKind.Complete;
}
