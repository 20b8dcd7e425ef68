/**
 * In which order waiting jobs get room. Answers more load than the workers can
 * serve in time. A job that has begun goes first, so that little is done in
 * vain. Then comes the job with the largest share of its time left: under too
 * much load, serving those that are about to be late makes all of them late.
 * Jobs that can hardly end in time any more take what room is left.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';

/** Groups of jobs, served one after the other. */
enum Urgency {
  Begun,
  InTime,
  Late,
}

interface RankedJob {
  readonly record: JobRecord;
  readonly urgency: Urgency;
  readonly slackShare: number;
}

/** The jobs with the one to serve first in front. */
export function orderJobs(
  jobs: readonly JobRecord[],
  now: Millis,
): JobRecord[] {
  const ranked = jobs.map(record => rank(record, now));
  ranked.sort(compareRanks);
  return ranked.map(({record}) => record);
}

function rank(record: JobRecord, now: Millis): RankedJob {
  const slackShare = record.slackShare(now);
  return {record, slackShare, urgency: chooseUrgency(record, slackShare)};
}

function chooseUrgency(record: JobRecord, slackShare: number): Urgency {
  if (record.hasStarted) return Urgency.Begun;
  return slackShare >= 0 ? Urgency.InTime : Urgency.Late;
}

function compareRanks(a: RankedJob, b: RankedJob): number {
  if (a.urgency !== b.urgency) return a.urgency - b.urgency;
  return b.slackShare - a.slackShare;
}
