/**
 * Minimum worth of a plan with which its job is accepted. Under high load,
 * while many jobs wait, capacity goes to jobs that are likely to end in time.
 * While few wait, a job that may be late takes nothing away from others.
 */
import {estimateWorth} from '../../placement/index.js';
import type {JobRecord} from '../jobs/index.js';

/** Number of jobs waiting to start above which the load counts as high. */
const MAX_WAITING_JOBS = 3;
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
  /** Factor on the minimum worth, up to 1; lower if its queue or size is behind. */
  readonly fairness: number;
}

/** Whether many of the jobs wait to start. */
export function areManyWaiting(jobs: readonly JobRecord[]): boolean {
  return jobs.filter(({hasStarted}) => !hasStarted).length > MAX_WAITING_JOBS;
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

function chooseShare({
  hasManyWaiting,
  isNew,
  fairness,
}: LoadConditions): number {
  if (!hasManyWaiting) return LOW_LOAD_SHARE;
  const share = isNew ? HIGH_LOAD_NEW_SHARE : HIGH_LOAD_SHARE;
  return Math.max(LOW_LOAD_SHARE, share * fairness);
}
