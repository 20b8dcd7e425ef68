/**
 * Order in which waiting jobs are placed, which matters under a load that the
 * workers can't serve in time. Jobs that have started go first, so that little
 * work is wasted, then the job that has to start earliest to end when due.
 * Priority only shifts that time by a fixed slack for each level, so that no
 * queue starves. While starts have to wait, the first tasks of each job go first.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Job} from '../../work/index.js';
import type {JobRecord} from './job_record.js';
import {haveFirstStarted} from '../placing/index.js';

/** Slack per level of priority, in ms. */
const PRIORITY_SLACK_MS = 60;

/**
 * Slack of a job whose fairness factor is 0, in ms. The lowest factor is 0.3, so
 * that a job goes up to 140 ms ahead.
 */
const BEHIND_SLACK_MS = 200;

/** What the order depends on besides the jobs. */
export interface OrderConditions {
  readonly hasStartBacklog: boolean;
  /** Whether many jobs wait to start. */
  readonly hasManyWaiting: boolean;
  /** Fairness factor of a job, up to 1; lower if its queue or size is behind. */
  readonly fairnessOf: (job: Job) => number;
}

/** Sorts jobs by the order in which they are placed, the first one first. */
export function sortJobs(
  jobs: readonly JobRecord[],
  conditions: OrderConditions,
): JobRecord[] {
  const {hasStartBacklog} = conditions;
  const ranks = new Map<JobRecord, Millis>();
  for (const record of jobs) ranks.set(record, computeRank(record, conditions));
  const rankOf = (record: JobRecord) => ranks.get(record) ?? 0;
  return [...jobs].sort((a, b) => {
    const isLater = haveFirstStarted(a);
    if (hasStartBacklog && isLater !== haveFirstStarted(b))
      return isLater ? 1 : -1;
    if (a.hasStarted !== b.hasStarted) return a.hasStarted ? -1 : 1;
    return rankOf(a) - rankOf(b);
  });
}

function computeRank(
  {job, startBy}: JobRecord,
  {hasManyWaiting, fairnessOf}: OrderConditions,
): Millis {
  const rank = startBy + PRIORITY_SLACK_MS * job.priority;
  if (!hasManyWaiting) return rank;
  return rank - BEHIND_SLACK_MS * Math.max(0, 1 - fairnessOf(job));
}
