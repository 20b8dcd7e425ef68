/** Describes the jobs and backend servers of this instance to operators. */
import type {JobOwner, JobRecord} from '@goldcrestpier/jobs';
import type {Inspection, JobSummary} from '@goldcrestpier/peers';
import type {Placement} from '@goldcrestpier/placement';
import type {Millis} from '@goldcrestpier/runtime';

const MAX_ENDED_JOBS = 200;

/**
 * Summarizes open and recently ended jobs, without payloads, and the backend
 * servers that this instance holds.
 */
export function inspectInstance(
  incarnation: string,
  owner: JobOwner,
  placement: Placement,
  now: Millis,
): Inspection {
  const jobs = owner.listJobs();
  const open = jobs.filter(job => job.endedAt === undefined);
  const ended = jobs
    .filter(job => job.endedAt !== undefined && !job.isAnswerExpired)
    .slice(-MAX_ENDED_JOBS);
  return {
    incarnation,
    jobs: [...open, ...ended].map(job => summarizeJob(job, now)),
    servers: [...placement.servers(now)],
  };
}

function summarizeJob(job: JobRecord, now: Millis): JobSummary {
  return {...job.summarize(), ageMs: now - job.header.acceptedAt};
}
