// Prints, for each job that a played day's log shows as not served, the decision
// that cost it, summed by cause, queue, zone and window:
// node scripts/explain_day.mjs LOG [--worth QUEUE=0.16,...] [--window 4] [--jobs CAUSE]
// The log is the output of all instances, one line each: seconds, instance, JSON.
import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';

const LINE = /^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$/;
/** A refusal within this share of its objective counts as prompt. */
const PROMPT_SHARE = 0.25;
/** The same for a job whose objective the log does not show, in ms. */
const PROMPT_MS = 40;
/** A run this many times as long as expected is a straggler. */
const STRAGGLER_FACTOR = 2;
/** A task's first start counts as late after this share of the objective. */
const LATE_START_SHARE = 0.4;

const {values, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    worth: {type: 'string', default: ''},
    window: {type: 'string', default: '4'},
    jobs: {type: 'string'},
  },
});
const worths = new Map(
  values.worth
    .split(',')
    .filter(Boolean)
    .map(entry => entry.split('='))
    .map(([queue, worth]) => [queue, Number(worth)]),
);

/** What the log says of one job. */
function createJob(id) {
  return {id, queue: '?', zone: '?', placed: [], ended: [], events: []};
}

function findJobId({job, task, path}) {
  return job ?? task?.split('.')[0] ?? path?.split('/').at(-1);
}

/** Reads `STEP.INDEX/RUN@WORKER~MS`, separated by spaces. */
function parsePlacements(text, at) {
  return [...text.matchAll(/(\S+)\/(\d+)@(\S+)~(\d+)/g)].map(match => {
    const [, task, run, worker, expectedMs] = match;
    return {at, task, run: Number(run), worker, expectedMs: Number(expectedMs)};
  });
}

function applyLine(jobs, at, instance, entry) {
  const id = findJobId(entry);
  if (id === undefined) return;
  const job = jobs.get(id) ?? createJob(id);
  jobs.set(id, job);
  const message = entry.msg.split(': ').at(-1);
  job.events.push(`${at.toFixed(3)} ${instance} ${message}`);
  switch (message) {
    case 'job accepted':
      job.queue = entry.queue;
      job.acceptedAt ??= at;
      job.objectiveMs ??= entry.objectiveMs;
      break;
    case 'job refused':
      job.refusal = {reason: entry.reason, ageMs: entry.ageMs};
      break;
    case 'tasks placed':
      job.placed.push(...parsePlacements(entry.tasks, at));
      break;
    case 'run ended':
      job.ended.push({at, ...entry});
      break;
    case 'request completed':
      job.prefix = entry.path.slice(0, entry.path.lastIndexOf('/'));
      // Instances are named CLASS-ZONE-NUMBER.
      job.zone = instance.split('-')[1] ?? '?';
      job.at = at;
      job.outcome = entry.outcome;
      job.tookMs = entry.tookMs;
      job.detail = entry.detail;
      break;
  }
}

function readJobs(file) {
  const jobs = new Map();
  let unreadable = 0;
  for (const line of readFileSync(file, 'utf8').split('\n')) {
    const match = LINE.exec(line);
    if (match === null) continue;
    try {
      applyLine(jobs, Number(match[1]), match[2], JSON.parse(match[3]));
    } catch {
      // A line that was cut where it was too long is not JSON.
      unreadable += 1;
    }
  }
  console.log(`${unreadable} lines could not be read`);
  nameQueues([...jobs.values()]);
  return [...jobs.values()];
}

/** Names the queue of jobs that no holder accepted, by others of their path. */
function nameQueues(jobs) {
  const queues = new Map(jobs.map(({prefix, queue}) => [prefix, queue]));
  for (const {prefix, queue} of jobs)
    if (queue !== '?') queues.set(prefix, queue);
  for (const job of jobs)
    if (job.queue === '?') job.queue = queues.get(job.prefix) ?? '?';
}

function explainRefusal({refusal, objectiveMs, tookMs, detail}) {
  const reason = refusal?.reason ?? /"error":"(\w+)"/.exec(detail ?? '')?.[1];
  const promptMs = objectiveMs ? objectiveMs * PROMPT_SHARE : PROMPT_MS;
  const isPrompt = (refusal?.ageMs ?? tookMs) <= promptMs;
  return `refused ${isPrompt ? 'at once' : 'late'}: ${reason}`;
}

/** Explains a job whose tasks started, but whose answer came late or never. */
function explainSlow(job) {
  const {placed, ended, objectiveMs = Infinity, acceptedAt = 0} = job;
  if (placed.length === 0) return 'no task was placed';
  const ends = new Set(ended.map(({end}) => end));
  if (ends.has('lost')) return 'a run was lost';
  if (ends.has('failed')) return 'a run failed';
  // Runs of a job that was not answered are stopped in any case.
  if (ends.has('stopped') && job.outcome === '200') return 'a run was moved';
  if (ends.has('refused')) return 'another zone refused a task';
  const first = placed.filter(({run}) => run === 1);
  const waitMs = Math.max(...first.map(({at}) => at - acceptedAt)) * 1_000;
  if (waitMs > LATE_START_SHARE * objectiveMs) return 'a task waited';
  const last = Math.max(
    ...placed.map(({at, expectedMs}) => at + expectedMs / 1_000),
  );
  if (job.at - acceptedAt > STRAGGLER_FACTOR * (last - acceptedAt))
    return 'a straggler';
  return 'longer than expected';
}

/** Returns why the job was not served in time; undefined if it was. */
function explain(job) {
  const {outcome, objectiveMs, tookMs} = job;
  if (outcome === '200') {
    const isLate = objectiveMs !== undefined && tookMs > objectiveMs;
    return isLate ? `late: ${explainSlow(job)}` : undefined;
  }
  if (outcome === '429' || outcome === '503') return explainRefusal(job);
  if (outcome === undefined) return undefined;
  return `${outcome}: ${explainSlow(job)}`;
}

/** Adds the jobs up by a key; the largest loss first. */
function sumBy(lost, getKey) {
  const sums = new Map();
  for (const job of lost) {
    const key = getKey(job);
    const sum = sums.get(key) ?? {jobs: 0, worth: 0};
    sum.jobs += 1;
    sum.worth += worths.get(job.queue) ?? 1;
    sums.set(key, sum);
  }
  return [...sums].sort(([, a], [, b]) => b.worth - a.worth);
}

function printSums(title, sums) {
  console.log(`\n${title}`);
  for (const [key, {jobs, worth}] of sums)
    console.log(
      `  ${worth.toFixed(2).padStart(8)} ${`${jobs}`.padStart(5)} jobs  ${key}`,
    );
}

const [file] = positionals;
const windowS = Number(values.window);
const lost = readJobs(file)
  .map(job => ({...job, cause: explain(job)}))
  .filter(({cause}) => cause !== undefined);
printSums(
  'by cause',
  sumBy(lost, ({cause}) => cause),
);
printSums(
  'by cause and queue',
  sumBy(lost, ({cause, queue}) => `${queue}  ${cause}`).slice(0, 25),
);
printSums(
  'by zone',
  sumBy(lost, ({zone}) => zone),
);
printSums(
  'by window',
  sumBy(lost, ({at}) => `from ${Math.floor(at / windowS) * windowS} s`),
);
for (const job of lost.filter(({cause}) => cause === values.jobs)) {
  console.log(`\n${job.id} ${job.queue} ${job.cause}`);
  for (const event of job.events) console.log(`  ${event}`);
}
