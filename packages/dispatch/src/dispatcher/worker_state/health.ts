/**
 * Ejects workers whose tasks fail or hang, or that don't answer: for about a
 * second at first, then with one task on probation. This limits the damage from
 * workers that fail all or some of their tasks although they look healthy.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {Health, type WorkerRecord} from '../../workers/index.js';

/** Strikes after which a worker is ejected. */
const MAX_STRIKES = 2;
/** Strikes that one successful run cancels. */
const SUCCESS_CREDIT = 0.5;
/** Initial and maximum time for which a worker is ejected, in ms. */
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;
/** Largest share of the workers that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.4;

/** Reason for a strike against a worker. */
export enum StrikeReason {
  TaskFailed = 'task_failed',
  StartUnanswered = 'order_unanswered',
  StartRefused = 'order_refused',
  TaskStalled = 'task_stalled',
  PollUnanswered = 'look_unanswered',
}

/** Adds a strike; returns whether it causes the worker to be ejected. */
export function addStrike(
  worker: WorkerRecord,
  workers: ReadonlyMap<string, WorkerRecord>,
  now: Millis,
): boolean {
  worker.strikes += 1;
  const wasOnProbation = worker.health === Health.Probation;
  if (!wasOnProbation && worker.strikes < MAX_STRIKES) return false;
  if (!wasOnProbation && isEjectionLimitReached(workers)) return false;
  const durationMs = FIRST_EJECTION_MS * 2 ** worker.ejections;
  worker.health = Health.Ejected;
  worker.ejectedUntil = now + Math.min(durationMs, MAX_EJECTION_MS);
  worker.ejections += 1;
  return true;
}

/** Records a successful run, which also ends a probation. */
export function addSuccess(worker: WorkerRecord): void {
  worker.strikes = Math.max(worker.strikes - SUCCESS_CREDIT, 0);
  if (worker.health === Health.Healthy) return;
  worker.health = Health.Healthy;
  worker.strikes = 0;
  worker.ejections = 0;
}

/** Puts a worker on probation once its ejection time has passed. */
export function startProbation(worker: WorkerRecord, now: Millis): void {
  if (worker.health !== Health.Ejected || now < worker.ejectedUntil) return;
  worker.health = Health.Probation;
}

function isEjectionLimitReached(
  workers: ReadonlyMap<string, WorkerRecord>,
): boolean {
  let ejected = 0;
  for (const worker of workers.values()) {
    if (worker.health !== Health.Healthy) ejected += 1;
  }
  return ejected + 1 > workers.size * MAX_EJECTED_SHARE;
}
