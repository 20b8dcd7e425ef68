/** Applies a worker's report of its runs, which is its answer to a poll. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  LossCause,
  RunPhase,
  type WorkerReport,
  type Run,
  type RunningEntry,
  type WorkerRecord,
} from '../../workers/index.js';
import {adoptReported} from '../intake/index.js';
import type {Registry} from '../registry.js';
import {StrikeReason} from './health.js';
import {findBlockEnd} from '../starts/index.js';

/** Maximum number of ended runs that a worker lists in one report. */
const MAX_LISTED_ENDS = 500;
/** Minimum progress to extrapolate a run's end from it, in percent. */
const MIN_PROGRESS_PERCENT = 4;
/** Multiple of the expected run time after which a run is overdue. */
const OVERDUE_FACTOR = 2;
/** Added to that multiple before a run counts as overdue, in ms. */
const OVERDUE_MARGIN_MS = 60;
/**
 * An overdue run counts as stalled if its extrapolated run time is at least this
 * multiple of the expected one.
 */
const STALLED_FACTOR = 4;

/** Applies a worker's answer to the poll that was sent at `sentAt`. */
export function applyReport(
  registry: Registry,
  worker: WorkerRecord,
  report: WorkerReport,
  sentAt: Millis,
  now: Millis,
): void {
  if (isFromEarlierIncarnation(worker, report, sentAt)) {
    applyEnds(registry, worker, report, now);
    return;
  }
  const hasRestarted = report.bornAt !== worker.info.bornAt;
  registry.crashRecorder.explainLosses(worker, hasRestarted, now);
  const {crashes} = registry.history;
  crashes.retractAnswered(worker.info.id, report.bornAt, sentAt);
  if (hasRestarted) {
    beginIncarnation(worker, report, now);
    registry.runTimes.forgetSpeed(worker.info.id);
  }
  worker.recordClock(report.clockMs, now);
  if (!worker.hasAcceptedToken || worker.isUnresponsive)
    registry.isPlacementDue = true;
  worker.hasAcceptedToken = true;
  registry.firstReportAt ??= now;
  worker.pollFailure = undefined;
  worker.recordAnswer(sentAt, now);
  for (const {sequence} of report.ended) {
    worker.lastAckedEnd = Math.max(worker.lastAckedEnd, sequence);
  }
  applyEnds(registry, worker, report, now);
  applyRunning(registry, worker, report, sentAt, now);
}

/** When the next run of the worker should end; Infinity without runs. */
export function findNextEndTime(worker: WorkerRecord): Millis {
  let next = Infinity;
  for (const {expectedEndAt} of worker.runs.values())
    next = Math.min(next, expectedEndAt);
  return next;
}

/** When the first run of the worker becomes overdue; Infinity without runs. */
export function findNextOverdueTime(worker: WorkerRecord): Millis {
  let next = Infinity;
  for (const run of worker.runs.values()) {
    next = Math.min(next, computeOverdueTime(run));
  }
  return next;
}

function computeOverdueTime({startedAt, expectedMs}: Run): Millis {
  return startedAt + OVERDUE_FACTOR * expectedMs + OVERDUE_MARGIN_MS;
}

/**
 * Whether the report is from an earlier incarnation and its poll was sent
 * before the later one became known. A report to a poll sent afterwards is
 * accepted even if its `bornAt` is lower, because `bornAt` comes from the wall
 * clock, which can go back.
 */
function isFromEarlierIncarnation(
  {info, incarnationKnownAt}: WorkerRecord,
  {bornAt}: WorkerReport,
  sentAt: Millis,
): boolean {
  return bornAt < info.bornAt && sentAt <= incarnationKnownAt;
}

/**
 * Records that the worker has restarted. Its known runs stay: a command that is
 * in flight or unanswered may reach the new incarnation, so a run that is not
 * listed is treated as lost by the usual rules only.
 */
function beginIncarnation(
  worker: WorkerRecord,
  {bornAt}: WorkerReport,
  now: Millis,
): void {
  worker.beginIncarnation(now);
  worker.info = {...worker.info, bornAt};
}

function applyEnds(
  registry: Registry,
  worker: WorkerRecord,
  {ended}: WorkerReport,
  now: Millis,
): void {
  for (const {task, run, end} of ended) {
    const known = worker.runs.get(task);
    if (known !== undefined && known.number === run)
      registry.endRun(known, end, now);
  }
}

function applyRunning(
  registry: Registry,
  worker: WorkerRecord,
  {running, ended}: WorkerReport,
  sentAt: Millis,
  now: Millis,
): void {
  const listed = new Set<string>();
  const orphans = new Map<string, number>();
  for (const entry of running) {
    listed.add(entry.task);
    const known = worker.runs.get(entry.task);
    if (known?.number === entry.run)
      updateProgress(registry, known, entry, now);
    else if (!adoptReported(registry, worker, entry.task, entry.run, now)) {
      orphans.set(entry.task, entry.run);
    }
  }
  replaceAll(worker.orphans, orphans);
  // A full list may lack the ends of other runs, which are not lost.
  if (ended.length >= MAX_LISTED_ENDS) return;
  for (const run of [...worker.runs.values()]) {
    // Answers may arrive out of order: only the answer to a poll that was sent
    // after the worker confirmed the run must list it.
    const mustBeListed =
      run.phase !== RunPhase.Starting && run.confirmedAt < sentAt;
    if (!mustBeListed || listed.has(run.key)) continue;
    const hasRestarted = run.confirmedAt < worker.incarnationKnownAt;
    const cause = hasRestarted ? LossCause.Restarted : LossCause.NotReported;
    registry.endRun(run, cause, now);
  }
}

function updateProgress(
  registry: Registry,
  run: Run,
  {percent}: RunningEntry,
  now: Millis,
): void {
  if (run.phase === RunPhase.Starting) {
    run.phase = RunPhase.Running;
    run.confirmedAt = now;
  }
  const elapsedMs = now - run.startedAt;
  const totalMs = (elapsedMs * 100) / Math.max(percent, 1);
  if (percent >= MIN_PROGRESS_PERCENT)
    run.expectedEndAt = run.startedAt + totalMs;
  if (run.phase !== RunPhase.Running || now < computeOverdueTime(run)) return;
  if (totalMs < STALLED_FACTOR * run.expectedMs) return;
  const task = registry.jobs.get(run.recordId)?.findTask(run.key);
  // A task that seems to hang on a second worker as well just takes longer than
  // declared.
  if (task === undefined || task.movedFrom !== undefined) return;
  if (findBlockEnd(registry, task, now) !== undefined) return;
  task.movedFrom = run.workerId;
  registry.runEnds.stop(run);
  registry.strikeRecorder.record(run, StrikeReason.TaskStalled, now);
}

function replaceAll(
  target: Map<string, number>,
  source: ReadonlyMap<string, number>,
): void {
  target.clear();
  for (const [key, run] of source) target.set(key, run);
}
