/** Takes in what a worker says about everything that it runs. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  RunPhase,
  type Look,
  type Run,
  type RunningEntry,
  type WorkerRecord,
} from '../workers/index.js';
import {adopt} from './adoption.js';
import type {Board} from './board.js';
import {StrikeReason} from './health.js';

/** Most ends that a worker lists in one answer. */
const MOST_ENDS = 500;
/** From this share of its work on, a run's end is told by its progress. */
const LEAST_PERCENT = 4;
/** A run is looked at more closely after this multiple of its expected time. */
const OVERDUE_FACTOR = 2;
/** Added to the expected time before a run counts as overdue, in ms. */
const OVERDUE_MS = 60;
/** An overdue run is stopped when it would take this multiple in all. */
const STALLED_FACTOR = 4;

/** Notes a look that was asked for at `sentAt`. */
export function takeLook(
  board: Board,
  worker: WorkerRecord,
  look: Look,
  sentAt: Millis,
  now: Millis,
): void {
  if (isOfLastLife(worker, look, sentAt)) {
    takeEnds(board, worker, look, now);
    return;
  }
  if (look.bornAt !== worker.info.bornAt) beginLife(worker, look, now);
  worker.readClock(look.clockMs, now);
  worker.isHeld = true;
  worker.isSilent = false;
  for (const {sequence} of look.ended) {
    worker.lastSeen = Math.max(worker.lastSeen, sequence);
  }
  takeEnds(board, worker, look, now);
  takeRunning(board, worker, look, sentAt, now);
}

/** When the next run there should end; Infinity when nothing runs. */
export function nextEndAt(worker: WorkerRecord): Millis {
  let next = Infinity;
  for (const {endsAt} of worker.runs.values()) next = Math.min(next, endsAt);
  return next;
}

/** When the worker should be looked at again because a run is overdue then. */
export function nextOverdueAt(worker: WorkerRecord): Millis {
  let next = Infinity;
  for (const run of worker.runs.values()) {
    next = Math.min(next, overdueAt(run));
  }
  return next;
}

function overdueAt({startedAt, expectedMs}: Run): Millis {
  return startedAt + OVERDUE_FACTOR * expectedMs + OVERDUE_MS;
}

/**
 * Whether the look was on its way when a later life became known. One that is
 * sent afterwards counts even so: births go by the time of day.
 */
function isOfLastLife(
  {info, lifeKnownAt}: WorkerRecord,
  {bornAt}: Look,
  sentAt: Millis,
): boolean {
  return bornAt < info.bornAt && sentAt <= lifeKnownAt;
}

/**
 * The worker started anew. A run that it doesn't list is lost like any other:
 * an order that is on its way, or had no answer, reaches the new life.
 */
function beginLife(worker: WorkerRecord, {bornAt}: Look, now: Millis): void {
  worker.beginLife(now);
  worker.info = {...worker.info, bornAt};
}

function takeEnds(
  board: Board,
  worker: WorkerRecord,
  {ended}: Look,
  now: Millis,
): void {
  for (const {task, run, end} of ended) {
    const known = worker.runs.get(task);
    if (known !== undefined && known.run === run) board.endRun(known, end, now);
  }
}

function takeRunning(
  board: Board,
  worker: WorkerRecord,
  {running, ended}: Look,
  sentAt: Millis,
  now: Millis,
): void {
  const listed = new Set<string>();
  const orphans = new Map<string, number>();
  for (const entry of running) {
    listed.add(entry.task);
    const known = worker.runs.get(entry.task);
    if (known?.run === entry.run) noteRunning(board, known, entry, now);
    else if (!adopt(board, worker, entry.task, entry.run, now)) {
      orphans.set(entry.task, entry.run);
    }
  }
  replaceAll(worker.orphans, orphans);
  if (ended.length >= MOST_ENDS) return;
  for (const run of [...worker.runs.values()]) {
    // Answers overtake each other: only a look that was asked for after the
    // worker had confirmed the run must list it.
    const mustBeListed =
      run.phase !== RunPhase.Starting && run.confirmedAt < sentAt;
    if (mustBeListed && !listed.has(run.key)) board.endRun(run, 'lost', now);
  }
}

function noteRunning(
  board: Board,
  run: Run,
  {percent}: RunningEntry,
  now: Millis,
): void {
  if (run.phase === RunPhase.Starting) {
    run.phase = RunPhase.Running;
    run.confirmedAt = now;
  }
  const elapsedMs = now - run.startedAt;
  const wholeMs = (elapsedMs * 100) / Math.max(percent, 1);
  if (percent >= LEAST_PERCENT) run.endsAt = run.startedAt + wholeMs;
  if (run.phase !== RunPhase.Running || now < overdueAt(run)) return;
  if (wholeMs < STALLED_FACTOR * run.expectedMs) return;
  const task = board.jobs.get(run.recordId)?.findTask(run.key);
  // What stands still on a second worker too is just longer than declared.
  if (task === undefined || task.stalledOn !== undefined) return;
  task.stalledOn = run.workerId;
  run.phase = RunPhase.Stopping;
  board.strike(run, StrikeReason.TaskStalled, now);
}

function replaceAll(
  target: Map<string, number>,
  source: ReadonlyMap<string, number>,
): void {
  target.clear();
  for (const [key, run] of source) target.set(key, run);
}
