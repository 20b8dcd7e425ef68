/** Writes this instance's open jobs and failures to the platform. */
import type {JobOwner, JobRecord} from '@goldcrestpier/jobs';
import {
  JournalWriter,
  type JournalContent,
  type JournalEntry,
} from '@goldcrestpier/platform';
import {JobState} from '@goldcrestpier/protocol';
import {LogPart} from '@goldcrestpier/runtime';
import type {Parts} from './index.js';

/** Keeps the journal until the life cycle closes. */
export function keepJournal({
  context,
  platform,
  membership,
  sessions,
}: Parts): void {
  const {incarnation, logs, lifecycle} = context;
  const writer = new JournalWriter({
    client: platform.client,
    incarnation,
    getContent: () => describeJobs(sessions.owner),
    readFleetSize: () => membership.linkedMembers().length + 1,
    logger: logs.forPart(LogPart.Jobs),
    lifecycle,
  });
  writer.start();
}

function describeJobs(owner: JobOwner): JournalContent {
  const jobs = owner.listJobs();
  const pick = (state: JobState) =>
    jobs.filter(job => job.state === state).map(describeJob);
  return {
    openJobs: pick(JobState.Running),
    recentFailures: pick(JobState.Failed).reverse(),
  };
}

function describeJob(job: JobRecord): JournalEntry {
  const code = job.failureCode;
  const figures = job.summarize();
  return code === undefined ? figures : {...figures, failure: code};
}
