/**
 * In which order waiting jobs get room. Answers more load than the workers can
 * serve in time: jobs that have begun go first, so that little is done in vain,
 * then the one that has to start earliest to end when due. A more urgent queue
 * goes ahead by some slack, but not always, so that no queue starves.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';

/** Slack that one step of priority counts for, in ms. */
const PRIORITY_SLACK_MS = 60;

/** The jobs with the one to serve first in front. */
export function orderJobs(jobs: readonly JobRecord[]): JobRecord[] {
  return [...jobs].sort(compareJobs);
}

function compareJobs(a: JobRecord, b: JobRecord): number {
  if (a.hasStarted !== b.hasStarted) return a.hasStarted ? -1 : 1;
  return rank(a) - rank(b);
}

function rank({job, startBy}: JobRecord): Millis {
  return startBy + PRIORITY_SLACK_MS * job.priority;
}
