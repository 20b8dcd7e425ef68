/** What this instance says of itself to operators, without payloads. */
import type {JobOwner, JobRecord} from '@goldcrestpier/jobs';
import type {Inspection, JobSummary} from '@goldcrestpier/peers';
import type {Placement} from '@goldcrestpier/placement';
import type {Millis} from '@goldcrestpier/runtime';

const MAX_ENDED_JOBS = 200;

/** Sums up this instance's open and lately ended jobs, and its servers. */
export function inspect(
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
    jobs: [...open, ...ended].map(job => summarize(job, now)),
    servers: [...placement.servers(now)],
  };
}

function summarize(job: JobRecord, now: Millis): JobSummary {
  return {...job.summarize(), ageMs: now - job.header.acceptedAt};
}
