/**
 * In which order waiting jobs get room. Answers more load than the workers can
 * serve in time: the job goes first that has the least time left to start,
 * among those that can still end when due; those that are late already come
 * after them.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';

/** Sorts so that the job to serve first stands first. */
export function orderJobs(jobs: JobRecord[], now: Millis): JobRecord[] {
  return jobs.sort((a, b) => compareJobs(a, b, now));
}

/** Negative when `a` goes before `b`. */
export function compareJobs(a: JobRecord, b: JobRecord, now: Millis): number {
  const isLateA = now > a.startBy && !a.hasStarted;
  const isLateB = now > b.startBy && !b.hasStarted;
  if (isLateA !== isLateB) return isLateA ? 1 : -1;
  return a.startBy - b.startBy;
}
