/** Writes a journal of open jobs and recent failures to the platform. */
import type {JobOwner, JobRecord} from '@goldcrestpier/jobs';
import {
  JournalWriter,
  type JournalContent,
  type JournalEntry,
} from '@goldcrestpier/platform';
import {JobState} from '@goldcrestpier/protocol';
import {LogPart} from '@goldcrestpier/runtime';
import type {Components} from './index.js';

/** Starts writing the journal; the lifecycle stops it. */
export function startJournal({
  context,
  platform,
  membership,
  sessions,
}: Components): void {
  const {incarnation, logs, lifecycle} = context;
  const writer = new JournalWriter({
    client: platform.keyValueClient,
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
  const describeInState = (state: JobState) =>
    jobs.filter(job => job.state === state).map(describeJob);
  return {
    openJobs: describeInState(JobState.Running),
    recentFailures: describeInState(JobState.Failed).reverse(),
  };
}

function describeJob(job: JobRecord): JournalEntry {
  const code = job.failureCode;
  const summary = job.summarize();
  return code === undefined ? summary : {...summary, failure: code};
}
