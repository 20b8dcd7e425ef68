/** Sends jobs at a steady rate, spread over all instances. */
import {
  callInstance,
  createJobBody,
  type TestInstance,
} from '@goldcrestpier/platform-adapter/standins';
import {readClock, sleep} from '@goldcrestpier/runtime';

const MILLIS_PER_SECOND = 1_000;
/**
 * Processors that each task requires, in thousandths; two tasks fit on a
 * worker.
 */
const TASK_CPU_MILLIS = 32_000;

/** A kind of job: its share of all jobs, its tasks and the run time of each. */
interface JobKind {
  readonly share: number;
  readonly tasks: number;
  readonly taskMs: number;
}

const JOB_KINDS: readonly JobKind[] = [
  {share: 0.71, tasks: 2, taskMs: 200},
  {share: 0.245, tasks: 8, taskMs: 60},
  {share: 0.045, tasks: 4, taskMs: 900},
];

/** Results of the jobs that were sent. */
export interface LoadResult {
  readonly jobs: number;
  readonly tasks: number;
  /** Responses by HTTP status; 0 for a broken connection. */
  readonly answers: Readonly<Record<string, number>>;
  readonly medianMs: number;
}

/** Sends jobs for `seconds` and waits for all responses. */
export async function sendJobs(
  instances: readonly TestInstance[],
  perSecond: number,
  seconds: number,
): Promise<LoadResult> {
  const answers: Record<string, number> = {};
  const times: number[] = [];
  const pending: Promise<void>[] = [];
  const startedAt = readClock();
  const jobs = Math.floor(perSecond * seconds);
  let tasks = 0;
  for (let index = 0; index < jobs; index += 1) {
    const scheduledAt = startedAt + (index * MILLIS_PER_SECOND) / perSecond;
    if (scheduledAt > readClock()) await sleep(scheduledAt - readClock());
    const instance = instances[index % instances.length];
    if (instance === undefined) break;
    const kind = chooseKind(index);
    tasks += kind.tasks;
    pending.push(
      sendJob(instance, index, kind).then(({status, tookMs}) => {
        answers[status] = (answers[status] ?? 0) + 1;
        times.push(tookMs);
      }),
    );
  }
  await Promise.all(pending);
  times.sort((a, b) => a - b);
  return {jobs, tasks, answers, medianMs: times[times.length >> 1] ?? 0};
}

/**
 * Spreads the kinds evenly over the jobs. Multiples of the golden ratio avoid a
 * periodic pattern.
 */
function chooseKind(index: number): JobKind {
  let point = (index * 0.6180339887) % 1;
  for (const kind of JOB_KINDS) {
    if (point < kind.share) return kind;
    point -= kind.share;
  }
  return {share: 1, tasks: 2, taskMs: 200};
}

async function sendJob(
  instance: TestInstance,
  index: number,
  {tasks, taskMs}: JobKind,
): Promise<{status: number; tookMs: number}> {
  const id = (index + 1).toString(16).padStart(16, '0');
  const body = {
    ...createJobBody(tasks, {cpu: TASK_CPU_MILLIS, estimate_ms: taskMs}),
    spec: String(taskMs),
  };
  const sentAt = readClock();
  try {
    const {status} = await callInstance(
      instance,
      'POST',
      `/quotes/${id}`,
      body,
    );
    return {status, tookMs: readClock() - sentAt};
  } catch {
    // Counted as a broken connection; the instance logs the cause.
    return {status: 0, tookMs: readClock() - sentAt};
  }
}
