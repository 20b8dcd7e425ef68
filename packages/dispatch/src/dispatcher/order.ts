/**
 * In which order waiting jobs get room. Answers more load than the workers can
 * serve in time: the job goes first that has to start earliest to end when due.
 * Jobs that can hardly end in time any more take what room is left, but for
 * those that have begun, so that little is done in vain.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';

/** The jobs with the one to serve first in front. */
export function orderJobs(
  jobs: readonly JobRecord[],
  now: Millis,
): JobRecord[] {
  return [...jobs].sort((a, b) => compareJobs(a, b, now));
}

function compareJobs(a: JobRecord, b: JobRecord, now: Millis): number {
  const isLateA = isLate(a, now);
  if (isLateA !== isLate(b, now)) return isLateA ? 1 : -1;
  return a.startBy - b.startBy;
}

function isLate({startBy, hasStarted}: JobRecord, now: Millis): boolean {
  return now > startBy && !hasStarted;
}
