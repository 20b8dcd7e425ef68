/**
 * Order in which waiting jobs are placed, which matters under a load that the
 * workers can't serve in time. Jobs take turns by slices of their tasks. Of the
 * same slice, jobs that have started go first, so that little work is wasted, then the job that has to start earliest to end when due.
 * Priority only shifts that time by a fixed slack for each level, so that no
 * queue starves.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';
import {countStartedSlices} from './job_slices.js';

/** Slack per level of priority, in ms. */
const PRIORITY_SLACK_MS = 60;

/** Sorts jobs by the order in which they are placed, the first one first. */
export function sortJobs(jobs: readonly JobRecord[]): JobRecord[] {
  return [...jobs].sort(compareJobs);
}

function compareJobs(a: JobRecord, b: JobRecord): number {
  const slices = countStartedSlices(a) - countStartedSlices(b);
  if (slices !== 0) return slices;
  if (a.hasStarted !== b.hasStarted) return a.hasStarted ? -1 : 1;
  return computeRank(a) - computeRank(b);
}

function computeRank({job, startBy}: JobRecord): Millis {
  return startBy + PRIORITY_SLACK_MS * job.priority;
}
