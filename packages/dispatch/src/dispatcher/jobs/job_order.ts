/**
 * Order in which waiting jobs are placed, which matters under a load that the
 * workers can't serve in time. Jobs that have started go first, so that little
 * work is wasted, then the job that has to start earliest to end when due.
 * Priority only shifts that time by a fixed slack for each level, so that no
 * queue starves. While starts have to wait, the first tasks of each job go first.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';
import {haveFirstStarted} from '../placing/index.js';

/** Slack per level of priority, in ms. */
const PRIORITY_SLACK_MS = 60;

/** Sorts jobs by the order in which they are placed, the first one first. */
export function sortJobs(
  jobs: readonly JobRecord[],
  {hasStartBacklog}: {readonly hasStartBacklog: boolean},
): JobRecord[] {
  return [...jobs].sort((a, b) => {
    const isLater = haveFirstStarted(a);
    if (!hasStartBacklog || isLater === haveFirstStarted(b))
      return compareJobs(a, b);
    return isLater ? 1 : -1;
  });
}

function compareJobs(a: JobRecord, b: JobRecord): number {
  if (a.hasStarted !== b.hasStarted) return a.hasStarted ? -1 : 1;
  return computeRank(a) - computeRank(b);
}

function computeRank({job, startBy}: JobRecord): Millis {
  return startBy + PRIORITY_SLACK_MS * job.priority;
}
