/** Callers' jobs at a steady rate, spread over all instances. */
import {
  callInstance,
  createJobBody,
  type TestInstance,
} from '@goldcrestpier/platform-adapter/standins';
import {readClock, sleep} from '@goldcrestpier/runtime';

const MILLIS_PER_SECOND = 1_000;
/** Processors that each task wants, in thousandths; two fit on a worker. */
const TASK_CPU_MILLIS = 32_000;

/** One kind of job: its share of all, its tasks and how long each runs. */
interface JobKind {
  readonly share: number;
  readonly tasks: number;
  readonly taskMs: number;
}

const KINDS: readonly JobKind[] = [
  {share: 0.71, tasks: 2, taskMs: 200},
  {share: 0.245, tasks: 8, taskMs: 60},
  {share: 0.045, tasks: 4, taskMs: 900},
];

/** What became of the jobs that were sent. */
export interface SentJobs {
  readonly jobs: number;
  readonly tasks: number;
  /** Answers by status; 0 stands for a connection that broke. */
  readonly answers: Readonly<Record<string, number>>;
  readonly medianMs: number;
}

/** Sends jobs for `seconds` and waits for all answers. */
export async function sendJobs(
  instances: readonly TestInstance[],
  perSecond: number,
  seconds: number,
): Promise<SentJobs> {
  const answers: Record<string, number> = {};
  const times: number[] = [];
  const open: Promise<void>[] = [];
  const beganAt = readClock();
  const jobs = Math.floor(perSecond * seconds);
  let tasks = 0;
  for (let index = 0; index < jobs; index += 1) {
    const dueAt = beganAt + (index * MILLIS_PER_SECOND) / perSecond;
    if (dueAt > readClock()) await sleep(dueAt - readClock());
    const instance = instances[index % instances.length];
    if (instance === undefined) break;
    const kind = chooseKind(index);
    tasks += kind.tasks;
    open.push(
      send(instance, index, kind).then(({status, tookMs}) => {
        answers[status] = (answers[status] ?? 0) + 1;
        times.push(tookMs);
      }),
    );
  }
  await Promise.all(open);
  times.sort((a, b) => a - b);
  return {jobs, tasks, answers, medianMs: times[times.length >> 1] ?? 0};
}

/** Spreads the kinds evenly; the golden ratio keeps them from lining up. */
function chooseKind(index: number): JobKind {
  let point = (index * 0.6180339887) % 1;
  for (const kind of KINDS) {
    if (point < kind.share) return kind;
    point -= kind.share;
  }
  return {share: 1, tasks: 2, taskMs: 200};
}

async function send(
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
    // Counted as a broken connection; the cause is in the instance's log.
    return {status: 0, tookMs: readClock() - sentAt};
  }
}
