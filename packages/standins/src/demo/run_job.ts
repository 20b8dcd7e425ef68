/** Runs one job of the demo and checks its answer and its task starts. */
import {countDuplicateStarts, type Cluster} from '../cluster/index.js';
import type {Caller, DemoJob, JobAnswer} from './caller.js';

const PROGRESS_BAR_CHARACTERS = 30;

/** Names of the entry instances that receive a job. */
export interface JobEntries {
  /** Opens the session and therefore owns the job. */
  readonly first: string;
  /** Receives the same job again while it runs. */
  readonly second: string;
}

/** Submits `job` twice, waits for its answer and checks the task starts. */
export async function runJob(
  cluster: Cluster,
  caller: Caller,
  job: DemoJob,
  entryNames: JobEntries,
): Promise<boolean> {
  const [firstUrl, secondUrl] = [
    cluster.entry(entryNames.first).url,
    cluster.entry(entryNames.second).url,
  ];
  const session = await caller.openSession(firstUrl);
  console.log(`\n${job.key}: ${job.tasks.length} tasks of ${job.team}`);
  console.log(`  submitted through ${entryNames.first}, session ${session}`);
  await caller.submit(firstUrl, session, job);
  const resubmitted = await caller.submit(secondUrl, session, job);
  console.log(
    `  submitted again through ${entryNames.second}: ${resubmitted.state}, the same job`,
  );
  const answer = await waitForAnswer(caller, firstUrl, session, job.key);
  printAnswer(answer);
  const secondAnswer = await caller.read(secondUrl, session, job.key);
  const isSame = JSON.stringify(secondAnswer) === JSON.stringify(answer);
  console.log(`  the same answer through ${entryNames.second}: ${isSame}`);
  const isStartedOnce = await checkStarts(
    cluster,
    `${session}/${job.key}`,
    job,
  );
  return answer.state === 'complete' && isSame && isStartedOnce;
}

async function waitForAnswer(
  caller: Caller,
  url: string,
  session: string,
  key: string,
): Promise<JobAnswer> {
  for (;;) {
    const answer = await caller.read(url, session, key);
    printProgress(answer);
    if (answer.state !== 'running') return answer;
  }
}

function printProgress({state, tasks}: JobAnswer): void {
  const done = tasks.filter(task => task.state === 'done').length;
  const filled = Math.round((done / tasks.length) * PROGRESS_BAR_CHARACTERS);
  const bar = '#'.repeat(filled).padEnd(PROGRESS_BAR_CHARACTERS, '.');
  console.log(`  [${bar}] ${done} of ${tasks.length} done, ${state}`);
}

function printAnswer({tasks}: JobAnswer): void {
  for (const task of [tasks[0], tasks.at(-1)]) {
    if (task === undefined) continue;
    const {echo, server} = task.result ?? {};
    const text = JSON.stringify(echo);
    console.log(`  task ${task.index}: ${text} by ${server ?? 'no server'}`);
  }
}

async function checkStarts(
  cluster: Cluster,
  job: string,
  {tasks}: DemoJob,
): Promise<boolean> {
  const starts = await cluster.readStarts();
  const jobStarts = starts.filter(start => start.job === job);
  const duplicates = countDuplicateStarts(jobStarts);
  const servers = new Set(jobStarts.map(({server}) => server)).size;
  console.log(
    `  the servers recorded ${jobStarts.length} starts on ${servers} servers, ` +
      `${duplicates.size} tasks started more than once`,
  );
  return jobStarts.length === tasks.length && duplicates.size === 0;
}
