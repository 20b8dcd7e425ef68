/** Applies a worker's report of its runs, which is its answer to a poll. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  LossCause,
  RunPhase,
  type WorkerReport,
  type WorkerRecord,
} from '../../workers/index.js';
import {adoptReported} from '../intake/index.js';
import type {Registry} from '../registry.js';
import {updateProgress} from './run_reports.js';

/** Maximum number of ended runs that a worker lists in one report. */
const MAX_LISTED_ENDS = 500;

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

function replaceAll(
  target: Map<string, number>,
  source: ReadonlyMap<string, number>,
): void {
  target.clear();
  for (const [key, run] of source) target.set(key, run);
}
