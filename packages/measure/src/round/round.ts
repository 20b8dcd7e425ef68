/** One round: sends a load on schedule and collects its results. */
import type {StartRecord} from '@goldcrestpier/standins';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Caller, JobOutcomeKind, type JobOutcome} from '../caller/index.js';
import {readMetrics, SERVICE, type MeasuredCluster} from '../cluster/index.js';
import type {LoadJob} from '../load/index.js';
import {
  subtractMetrics,
  sumByName,
  type MetricValues,
} from '../metrics/index.js';
import {injectFaults} from './faults.js';

const PROGRESS_INTERVAL_MS = 1_000;
const COPY_DELAY_MS = 20;

/** Options of a round. */
export interface RoundOptions {
  readonly name: string;
  readonly seconds: number;
  readonly hasFaults: boolean;
  /** Whether refused jobs are not retried. */
  readonly isSingleAttempt: boolean;
  /** Deadline of each job, in milliseconds. */
  readonly deadlineMs: number;
}

/** Results of one round. */
export interface RoundResult {
  readonly jobs: readonly LoadJob[];
  /** In the order of the jobs. */
  readonly outcomes: readonly JobOutcome[];
  /** Task starts at the servers, by key of the job. */
  readonly starts: ReadonlyMap<string, readonly TimedStart[]>;
  /** Increase of the metrics of each instance during the round. */
  readonly metrics: readonly MetricValues[];
  /** Resident memory of each instance after the round. */
  readonly residentBytes: readonly number[];
  readonly tookMs: number;
}

/** A task start, with the response time computed from its known run time. */
export interface TimedStart {
  readonly index: number;
  /** From the arrival of its job to the end of its run, in milliseconds. */
  readonly responseMs: number;
  /** From the arrival of its job to its start, in milliseconds. */
  readonly waitMs: number;
}

/** Sends `jobs` on schedule and waits until all have ended. */
export async function runRound(
  measuredCluster: MeasuredCluster,
  jobs: readonly LoadJob[],
  options: RoundOptions,
): Promise<RoundResult> {
  const {cluster} = measuredCluster;
  for (const {admin} of cluster.runners) await admin.clearStarts();
  const callers = cluster.entries.map(({url}) => new Caller(url));
  await Promise.all(callers.map(caller => caller.ensureSession()));
  const before = await readMetrics(cluster.entries);
  const startedAt = readClock();
  const startedAtEpochMs = Date.now();
  const ended = {count: 0};
  const progress = reportProgress(options.name, jobs.length, ended);
  const faults = options.hasFaults
    ? injectFaults(measuredCluster, options.seconds * 1_000)
    : undefined;
  const outcomes = await Promise.all(
    jobs.map(async job => {
      await sleep(startedAt + job.atMs - readClock());
      const outcome = await sendJob(job, callers, startedAt, options);
      ended.count += 1;
      return outcome;
    }),
  );
  await faults;
  clearInterval(progress);
  const tookMs = readClock() - startedAt;
  const after = await readMetrics(cluster.entries);
  const starts = await cluster.readStarts();
  await Promise.all(callers.map(caller => caller.close()));
  return {
    jobs,
    outcomes,
    starts: computeStartTimes(starts, jobs, measuredCluster, startedAtEpochMs),
    metrics: after.map((each, index) =>
      subtractMetrics(each, before[index] ?? new Map<string, number>()),
    ),
    residentBytes: after.map(each =>
      sumByName(each, 'process_resident_memory_bytes'),
    ),
    tookMs,
  };
}

async function sendJob(
  job: LoadJob,
  callers: readonly Caller[],
  startedAt: number,
  {isSingleAttempt, deadlineMs}: RoundOptions,
): Promise<JobOutcome> {
  const caller = callers[job.entry];
  if (caller === undefined)
    throw new Error(`there is no entry instance ${job.entry}`);
  const submission = {
    key: job.key,
    body: createBody(job, deadlineMs),
    scheduledAt: startedAt + job.atMs,
    isSingleAttempt,
  };
  const answer = caller.submit(submission);
  const copy = sendCopy();
  if (job.cancelAtMs !== undefined) {
    await sleep(startedAt + job.cancelAtMs - readClock());
    await caller.cancel(job.key);
  }
  await copy;
  return answer;

  async function sendCopy(): Promise<void> {
    const other =
      job.copyEntry === undefined ? undefined : callers[job.copyEntry];
    if (other === undefined || caller === undefined) return;
    await sleep(COPY_DELAY_MS);
    await other.submit(submission, await caller.ensureSession());
  }
}

function createBody({team, tasks}: LoadJob, deadlineMs: number): string {
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

/** Computes when each started task ends from the speed of its server. */
function computeStartTimes(
  starts: readonly StartRecord[],
  jobs: readonly LoadJob[],
  {speedByRunner}: MeasuredCluster,
  startedAtEpochMs: number,
): Map<string, TimedStart[]> {
  const byKey = new Map(jobs.map(job => [job.key, job]));
  const timed = new Map<string, TimedStart[]>();
  for (const {job: name, task, at, server} of starts) {
    const key = name.slice(name.lastIndexOf('/') + 1);
    const index = Number(task.slice(task.lastIndexOf('#') + 1));
    const job = byKey.get(key);
    const work = job?.tasks[index];
    if (job === undefined || work === undefined) continue;
    const runMs = work.workMs / (speedByRunner.get(server) ?? 1);
    const waitMs = at - startedAtEpochMs - job.atMs;
    const start = {index, responseMs: waitMs + runMs, waitMs};
    timed.set(key, [...(timed.get(key) ?? []), start]);
  }
  return timed;
}

function reportProgress(
  name: string,
  jobs: number,
  ended: {readonly count: number},
): NodeJS.Timeout {
  return setInterval(() => {
    process.stderr.write(`\r${name}: ${ended.count} of ${jobs} jobs ended   `);
    if (ended.count === jobs) process.stderr.write('\n');
  }, PROGRESS_INTERVAL_MS);
}

/** Whether a job completed. */
export function isComplete({kind}: JobOutcome): boolean {
  return kind === JobOutcomeKind.Complete;
}
