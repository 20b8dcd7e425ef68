/**
 * The worth that a plan must bring for its job to be taken. Answers too much
 * load: while many jobs wait, room goes to those that it serves in time; while
 * few do, also a job that may be late takes nothing away from others.
 */
import {expectWorth} from '../placement/index.js';
import type {JobRecord} from './job_record.js';

/** Jobs that may wait to begin before they count as many. */
const MOST_WAITING = 3;
/** Share of its best worth that a job must bring while few wait. */
const CALM_SHARE = 0.15;
/** The same while many wait. */
const CROWDED_SHARE = 0.35;
/** The same on arrival: what is taken then should not be refused late. */
const CROWDED_NEW_SHARE = 0.6;
/** Run time on the fastest workers beside the expected one. */
const FASTEST_SHARE = 0.7;

/** What the bar for a job depends on. */
export interface Circumstances {
  /** Many jobs wait to begin. */
  readonly isCrowded: boolean;
  /** The job has just arrived. */
  readonly isNew: boolean;
}

/** Whether many of the jobs wait to begin. */
export function areManyWaiting(jobs: readonly JobRecord[]): boolean {
  return jobs.filter(({hasStarted}) => !hasStarted).length > MOST_WAITING;
}

/** The least worth, 0 to 1, with which the job is taken. */
export function findLeastWorth(
  record: JobRecord,
  circumstances: Circumstances,
): number {
  const fastestMs = record.expectedMs * FASTEST_SHARE;
  const best = expectWorth(record, fastestMs, record.job.arrivedAt);
  return best * chooseShare(circumstances);
}

function chooseShare({isCrowded, isNew}: Circumstances): number {
  if (!isCrowded) return CALM_SHARE;
  return isNew ? CROWDED_NEW_SHARE : CROWDED_SHARE;
}
