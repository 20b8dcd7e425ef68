/**
 * Start commands that got no answer and may be executed late, by any later
 * incarnation of their worker. A task with such a command is not started again,
 * wherever its run ended; only the same command may be repeated, as a worker
 * starts a run once.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {AbandonReason, createAbandoned} from '../../work/index.js';
import {RunPhase, type Run} from '../../workers/index.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import {
  DELEGATED_RUN_MAX_MS,
  FORMER_HOLDER_STOP_MS,
  computeLateRunEnd,
  computeLeaseExpiry,
} from '../options.js';
import type {Registry} from '../registry.js';

/** Records that a start command has got no answer so far. */
export function recordUnansweredStart(
  registry: Registry,
  run: Run,
  leaseMs: Millis,
  now: Millis,
): void {
  const endsAt = computeLateRunEnd(now, leaseMs);
  blockTask(registry, run.key, endsAt, now);
  registry.workers.get(run.workerId)?.recordUnansweredLease(endsAt);
}

/**
 * Records the start commands that have got no answer yet when the holder steps
 * down: the next one learns of them with the jobs. It learns of jobs that are
 * being ended from nobody, so that their runs are recorded as well.
 */
export function recordOutstandingStarts(
  registry: Registry,
  leaseMs: Millis,
  now: Millis,
): void {
  for (const {runs} of registry.workers.values()) {
    for (const run of runs.values()) {
      if (isStartOutstanding(run))
        recordUnansweredStart(registry, run, leaseMs, now);
    }
  }
  for (const record of registry.jobs.values()) {
    if (record.pendingOutcome !== undefined && !record.isInbound)
      recordEndingRuns(registry, record, leaseMs, now);
  }
}

/**
 * Blocks the tasks of a job that is being ended until its runs have ended, also
 * those that the next holder doesn't find, as a zone or a worker is silent.
 */
function recordEndingRuns(
  registry: Registry,
  record: JobRecord,
  leaseMs: Millis,
  now: Millis,
): void {
  for (const {key, delegatedTo} of record.runs()) {
    const endsAt =
      delegatedTo === undefined
        ? computeLeaseExpiry(now + FORMER_HOLDER_STOP_MS, leaseMs)
        : now + DELEGATED_RUN_MAX_MS;
    blockTask(registry, key, endsAt, now);
  }
}

/**
 * Records that the holder to which a task was delegated is lost. It stops the
 * run, but its start command may have got no answer without its telling so.
 */
export function loseDelegatedRun(
  registry: Registry,
  run: Run,
  leaseMs: Millis,
  now: Millis,
): void {
  run.phase = RunPhase.StopAccepted;
  registry.runEnds.bound(run, now + DELEGATED_RUN_MAX_MS);
  const endsAt = computeLateRunEnd(run.latestEndAt, leaseMs);
  blockTask(registry, run.key, endsAt, now);
}

function blockTask(
  {history, observer}: Registry,
  task: string,
  endsAt: Millis,
  now: Millis,
): void {
  const dropped = history.unansweredStarts.record(task, endsAt, now);
  if (dropped > 0) observer.startsForgotten(dropped);
}

/** Whether a start command was sent whose answer, or lack of one, is open. */
export function isStartOutstanding({
  confirmedAt,
  startUnansweredAt,
  isStartRefused,
}: Run): boolean {
  if (isStartRefused || startUnansweredAt !== Infinity) return false;
  return confirmedAt === Infinity;
}

/** When the task may be started again; undefined if it may be now. */
export function findBlockEnd(
  {history}: Registry,
  {key}: TaskRecord,
  now: Millis,
): Millis | undefined {
  return history.unansweredStarts.findEnd(key, now);
}

/** Whether the run is still to be started, and is expected to end in time. */
export function isStartWanted(
  {jobs, evacuation}: Registry,
  run: Run,
  now: Millis,
): boolean {
  if (run.phase !== RunPhase.Starting || evacuation.isActive) return false;
  const record = jobs.get(run.recordId);
  const state = record?.findTask(run.key)?.state;
  // A poll may have reported its end.
  if (state?.kind !== 'running' || state.run !== run) return false;
  return record !== undefined && now + run.expectedMs <= record.job.deadlineAt;
}

/** Ends the jobs that wait for a run which can't be replaced in time. */
export function endBlockedJobs(registry: Registry, now: Millis): void {
  const {jobs, inboundTasks, history} = registry;
  for (const jobId of history.unansweredStarts.jobIds) {
    const record = jobs.get(jobId);
    const records = record === undefined ? [] : [record];
    for (const each of [...records, ...inboundTasks.listTasks(jobId)])
      endIfStuck(registry, each, hasEndingRun, now);
  }
}

/** Ends a job with a waiting task that can't be started in time. */
export function endIfBlocked(
  registry: Registry,
  record: JobRecord,
  now: Millis,
): boolean {
  const {unansweredStarts} = registry.history;
  if (!unansweredStarts.hasJob(record.submittedId)) return false;
  return endIfStuck(registry, record, isWaiting, now);
}

/** Ends a job with a blocked task for which `isStuck` holds. */
function endIfStuck(
  registry: Registry,
  record: JobRecord,
  isStuck: (task: TaskRecord) => boolean,
  now: Millis,
): boolean {
  if (record.pendingOutcome !== undefined) return false;
  const {unansweredStarts} = registry.history;
  for (const key of unansweredStarts.listTasks(record.submittedId)) {
    const task = record.findTask(key);
    if (task === undefined || !isStuck(task)) continue;
    const endsAt = findBlockEnd(registry, task, now);
    if (endsAt === undefined || endsAt < record.job.deadlineAt) continue;
    record.hasStarted = true;
    registry.observer.jobBlocked(record.id, key, endsAt - now);
    const outcome = createAbandoned(AbandonReason.StartUnanswered);
    registry.endJob(record, outcome, now);
    return true;
  }
  return false;
}

function isWaiting({state}: TaskRecord): boolean {
  return state.kind === 'waiting';
}

/** Whether the task's run is being stopped. */
function hasEndingRun({state}: TaskRecord): boolean {
  if (state.kind !== 'running') return false;
  switch (state.run.phase) {
    case RunPhase.Starting:
    case RunPhase.Running:
      return false;
    case RunPhase.Stopping:
    case RunPhase.StopAccepted:
      return true;
  }
}
