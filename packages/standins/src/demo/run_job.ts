/** Follows one job of the demo from its submission to its checked answer. */
import {countDoubledStarts, type Cluster} from '../cluster/index.js';
import type {Caller, DemoJob, JobAnswer} from './caller.js';

const BAR_CHARACTERS = 30;

/** Which entry instances a job goes through. */
export interface Entrances {
  /** Opens the session, and so owns the job. */
  readonly first: string;
  /** Gets the same job once more while it runs. */
  readonly second: string;
}

/** Submits `job` twice, follows it, and checks what the servers started. */
export async function runJob(
  cluster: Cluster,
  caller: Caller,
  job: DemoJob,
  entrances: Entrances,
): Promise<boolean> {
  const [first, second] = [
    cluster.entry(entrances.first).url,
    cluster.entry(entrances.second).url,
  ];
  const session = await caller.openSession(first);
  console.log(`\n${job.key}: ${job.tasks.length} tasks of ${job.team}`);
  console.log(`  submitted through ${entrances.first}, session ${session}`);
  await caller.submit(first, session, job);
  const again = await caller.submit(second, session, job);
  console.log(
    `  submitted again through ${entrances.second}: ${again.state}, the same job`,
  );
  const answer = await follow(caller, first, session, job.key);
  printAnswer(answer);
  const other = await caller.read(second, session, job.key);
  const isSame = JSON.stringify(other) === JSON.stringify(answer);
  console.log(`  the same answer through ${entrances.second}: ${isSame}`);
  const isOnce = await checkStarts(cluster, `${session}/${job.key}`, job);
  return answer.state === 'complete' && isSame && isOnce;
}

async function follow(
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
  const filled = Math.round((done / tasks.length) * BAR_CHARACTERS);
  const bar = '#'.repeat(filled).padEnd(BAR_CHARACTERS, '.');
  console.log(`  [${bar}] ${done} of ${tasks.length} done, ${state}`);
}

function printAnswer({tasks}: JobAnswer): void {
  for (const task of [tasks[0], tasks.at(-1)]) {
    if (task === undefined) continue;
    const {echo, server} = task.result ?? {};
    const text = JSON.stringify(echo);
    console.log(`  task ${task.index}: ${text} by ${server ?? 'nobody'}`);
  }
}

async function checkStarts(
  cluster: Cluster,
  job: string,
  {tasks}: DemoJob,
): Promise<boolean> {
  const starts = await cluster.readStarts();
  const own = starts.filter(start => start.job === job);
  const doubled = countDoubledStarts(own);
  const servers = new Set(own.map(({server}) => server)).size;
  console.log(
    `  the servers recorded ${own.length} starts on ${servers} servers, ` +
      `${doubled.size} tasks started more than once`,
  );
  return own.length === tasks.length && doubled.size === 0;
}
