/**
 * Leaves workers alone that fail, hang or do not answer, for about a second at
 * first, and lets each back with one task on trial. Answers workers that fail
 * all or part of what they start while they look healthy.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {Health, type WorkerRecord} from '../workers/index.js';

/** Strikes after which a worker is ejected. */
const MOST_STRIKES = 2;
/** Strikes that one good end takes back. */
const GOOD_END_CREDIT = 0.5;
/** First and longest time for which a worker is left alone, in ms. */
const FIRST_EJECTION_MS = 1_000;
const LONGEST_EJECTION_MS = 8_000;
/** Largest share of the workers that may be left alone at once. */
const MOST_EJECTED_SHARE = 0.4;

/** Why a worker got a strike. */
export enum StrikeReason {
  TaskFailed = 'task_failed',
  OrderUnanswered = 'order_unanswered',
  OrderRefused = 'order_refused',
  TaskStalled = 'task_stalled',
  LookUnanswered = 'look_unanswered',
}

/** Notes a strike; true when the worker is ejected by it. */
export function addStrike(
  worker: WorkerRecord,
  all: ReadonlyMap<string, WorkerRecord>,
  now: Millis,
): boolean {
  worker.strikes += 1;
  const wasOnTrial = worker.health === Health.OnTrial;
  if (!wasOnTrial && worker.strikes < MOST_STRIKES) return false;
  if (!wasOnTrial && isShareUsedUp(all)) return false;
  const wait = FIRST_EJECTION_MS * 2 ** worker.ejections;
  worker.health = Health.Ejected;
  worker.ejectedUntil = now + Math.min(wait, LONGEST_EJECTION_MS);
  worker.ejections += 1;
  return true;
}

/** Notes a task that ended well. */
export function addGoodEnd(worker: WorkerRecord): void {
  worker.strikes = Math.max(worker.strikes - GOOD_END_CREDIT, 0);
  if (worker.health === Health.Good) return;
  worker.health = Health.Good;
  worker.strikes = 0;
  worker.ejections = 0;
}

/** Moves a worker whose time is over to its trial. */
export function beginTrial(worker: WorkerRecord, now: Millis): void {
  if (worker.health !== Health.Ejected || now < worker.ejectedUntil) return;
  worker.health = Health.OnTrial;
}

function isShareUsedUp(all: ReadonlyMap<string, WorkerRecord>): boolean {
  let ejected = 0;
  for (const worker of all.values()) {
    if (worker.health !== Health.Good) ejected += 1;
  }
  return ejected + 1 > all.size * MOST_EJECTED_SHARE;
}
