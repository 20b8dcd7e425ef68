/**
 * Minimum worth of a plan with which its job is accepted. Under high load,
 * while many jobs wait, capacity goes to jobs that are likely to end in time.
 * While few wait, a job that may be late takes nothing away from others.
 */
import {estimateWorth} from '../placement/index.js';
import type {JobRecord} from './job_record.js';

/** Jobs that wait to start for each worker, above which the load is high. */
const MAX_WAITING_PER_WORKER = 0.09;
/** Jobs that may wait to start in any zone, however few its workers. */
const MIN_WAITING_JOBS = 1;
/** Share of its best possible worth that a job needs while few wait. */
const LOW_LOAD_SHARE = 0.15;
/** The same share while many wait. */
const HIGH_LOAD_SHARE = 0.35;
/** The same on arrival: higher, so that accepted jobs are not refused late. */
const HIGH_LOAD_NEW_SHARE = 0.6;
/** Run time on the fastest workers as a share of the expected one. */
const FASTEST_RUN_TIME_SHARE = 0.7;

/** Conditions that the minimum worth of a job depends on. */
export interface LoadConditions {
  /** Whether many jobs wait to start. */
  readonly hasManyWaiting: boolean;
  /** Whether the job has just arrived. */
  readonly isNew: boolean;
}

/** Whether many of a service's jobs wait to start, for so many workers. */
export function areManyWaiting(
  jobs: readonly JobRecord[],
  workers: number,
): boolean {
  const maxWaiting = Math.max(
    MIN_WAITING_JOBS,
    MAX_WAITING_PER_WORKER * workers,
  );
  return jobs.filter(isHeldUp).length > maxWaiting;
}

/**
 * Whether a job waits because an earlier round found no place for it. Those
 * that have just arrived, perhaps several at once, say nothing of the load.
 */
function isHeldUp({hasStarted, isInbound, planned}: JobRecord): boolean {
  return !hasStarted && !isInbound && planned !== undefined;
}

/** Returns the minimum worth, 0 to 1, with which the job is accepted. */
export function findMinWorth(
  record: JobRecord,
  conditions: LoadConditions,
): number {
  const fastestMs = record.expectedMs * FASTEST_RUN_TIME_SHARE;
  const best = estimateWorth(record, fastestMs, record.job.arrivedAt);
  return best * chooseShare(conditions);
}

function chooseShare({hasManyWaiting, isNew}: LoadConditions): number {
  if (!hasManyWaiting) return LOW_LOAD_SHARE;
  return isNew ? HIGH_LOAD_NEW_SHARE : HIGH_LOAD_SHARE;
}
