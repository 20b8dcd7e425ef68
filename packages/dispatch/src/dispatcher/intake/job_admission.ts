/**
 * Refuses new jobs that a holder can't serve in their time beside those that it
 * has accepted. What counts is the cost: the starts that a job needs, at the
 * rate at which tasks are being started, and its time on the workers.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {
  chooseRetryAfter,
  measureJob,
  type JobSize,
} from '../../admission/index.js';
import {
  AbandonReason,
  createAbandoned,
  parseTaskName,
  RefusalReason,
  type Job,
} from '../../work/index.js';
import type {JobRecord} from '../jobs/index.js';
import {countTasksAhead, isLargeJob} from '../placing/index.js';
import type {Registry} from '../registry.js';

/** Multiple of the estimated time in which all tasks of a job are started. */
const START_TIME_MARGIN = 1.25;
/** Largest share of a job's time that its expected run time is taken for. */
const MAX_EXPECTED_SHARE = 0.5;
/** Time per start while none was measured, in ms. */
const UNMEASURED_START_MS = 1;
/** Retry delay for a job that takes too many starts at any time, in ms. */
const LONG_RETRY_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Why a job is not accepted, and the time after which it may be, in ms. */
export interface Rejection {
  readonly reason: RefusalReason;
  readonly waitMs: Millis;
}

/** Returns why a new job is not accepted; undefined if it is. */
export function findRejection(
  registry: Registry,
  job: Job,
  now: Millis,
): Rejection | undefined {
  const size = measureJob(job);
  const startMs = estimateStart(registry, now);
  const startsAhead = countStartsAhead(registry, size);
  if (!registry.heldWork.hasRoom(size)) {
    const waitMs = countWaitingTasks(registry) * startMs;
    return {reason: RefusalReason.HolderFull, waitMs};
  }
  // A few starts without a backlog take no time that counts.
  if (startsAhead === 0 && !isLargeJob(size.tasks)) return undefined;
  const ownMs = findLatestStart(job, registry.predictJob(job)) - now;
  const othersMs = findLatestStartOfOthers(registry, size) - now;
  const neededMs = (startsAhead + size.tasks) * startMs * START_TIME_MARGIN;
  if (neededMs <= Math.min(ownMs, othersMs)) return undefined;
  const affordableMs = ownMs / (size.tasks * START_TIME_MARGIN);
  const aheadMs = startsAhead * startMs;
  const waitMs = aheadMs + findRetryTime(registry, affordableMs, now);
  return {reason: RefusalReason.TooManyStarts, waitMs};
}

/** Estimates the time in which a task is started, in ms. */
function estimateStart({startRate}: Registry, now: Millis): Millis {
  const startsPerSecond = startRate.getStartsPerSecond(now);
  if (startsPerSecond === undefined) return UNMEASURED_START_MS;
  return MS_PER_SECOND / startsPerSecond;
}

/** Time until a start is estimated to take at most `affordableMs`, in ms. */
function findRetryTime(
  registry: Registry,
  affordableMs: Millis,
  now: Millis,
): Millis {
  if (estimateStart(registry, now) <= affordableMs) return 0;
  if (affordableMs < UNMEASURED_START_MS) return LONG_RETRY_MS;
  return registry.startRate.getTimeToExpiry(now);
}

/** Refuses a job of which nothing runs; abandons it if it has run before. */
export function rejectJob(
  registry: Registry,
  job: Job,
  {reason, waitMs}: Rejection,
  now: Millis,
): void {
  if (registry.runNumbers.findLast(job.id, now) > 0) {
    const outcome = createAbandoned(AbandonReason.Deadline);
    registry.endOnArrival(job, outcome, true);
    return;
  }
  const refused = {job, isInbound: false, planned: undefined};
  const retryAfterMs = chooseRetryAfter(waitMs);
  const times = {waitMs, retryAfterMs};
  registry.observer.jobRefused(refused, reason, times, now);
  registry.endOnArrival(job, {kind: 'refused', reason, retryAfterMs}, false);
}

/** Whether tasks of the job may run that are not known to end in time. */
export function mayHaveOtherRuns(
  registry: Registry,
  jobId: string,
  now: Millis,
): boolean {
  if (registry.runNumbers.mayHaveUnknownRuns(jobId, now)) return true;
  if (mayRunElsewhere(registry, jobId, now)) return true;
  if (registry.inboundTasks.has(jobId)) return true;
  for (const {orphans} of registry.workers.values()) {
    for (const key of orphans.keys())
      if (parseTaskName(key)?.jobId === jobId) return true;
  }
  return false;
}

/** Whether another zone, or a late start command, may run tasks of the job. */
export function mayRunElsewhere(
  {remoteRuns, history}: Registry,
  jobId: string,
  now: Millis,
): boolean {
  if (history.unansweredStarts.hasJob(jobId)) return true;
  return remoteRuns.mayRun(jobId, now);
}

/** A large job may delay others, which must not miss their deadlines. */
function findLatestStartOfOthers(registry: Registry, size: JobSize): Millis {
  let earliestAt = Infinity;
  if (!isLargeJob(size.tasks)) return earliestAt;
  for (const {job, expectedMs, tasks} of listWaiting(registry)) {
    if (isLargeJob(tasks.length))
      earliestAt = Math.min(earliestAt, findLatestStart(job, expectedMs));
  }
  return earliestAt;
}

/** The latest start of a job's tasks; its expected run time is a rough guess. */
function findLatestStart(
  {arrivedAt, deadlineAt}: Job,
  expectedMs: Millis,
): Millis {
  const timeMs = deadlineAt - arrivedAt;
  return deadlineAt - Math.min(expectedMs, timeMs * MAX_EXPECTED_SHARE);
}

/** Counts the tasks that are started before those of a new job. */
function countStartsAhead(registry: Registry, {tasks}: JobSize): number {
  // Without a backlog, tasks wait for capacity and not for starts.
  if (!registry.hasStartBacklog) return 0;
  let ahead = 0;
  for (const record of listWaiting(registry))
    ahead += countTasksAhead(record, tasks);
  return ahead;
}

function countWaitingTasks(registry: Registry): number {
  let count = 0;
  for (const {waitingCount} of listWaiting(registry)) count += waitingCount;
  return count;
}

/** Lists the jobs with tasks that are still to be started. */
function* listWaiting(registry: Registry): Iterable<JobRecord> {
  for (const record of registry.jobs.values()) {
    const isEnding = record.pendingOutcome !== undefined;
    if (!isEnding && record.waitingCount > 0) yield record;
  }
}
