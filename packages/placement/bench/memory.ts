/**
 * Measures the memory of a waiting task without its payload, with servers that
 * never answer, and the CPU time of a start, with servers that answer at once.
 * Both use one owner.
 *
 * Run: node --expose-gc packages/placement/dist/bench/memory.js [tasks]
 */
import {StartKind} from '@goldcrestpier/backends';
import {BackendKind, type PlacementTask} from '@goldcrestpier/protocol';
import {Lifecycle, readClock, sleep} from '@goldcrestpier/runtime';
import {PolicyKind} from '@goldcrestpier/settings';
import {createFleet} from './fleet.js';
import {createServers, type TrialOptions} from './workload.js';

const JOB_TASKS = 100;
const options: TrialOptions = {
  seed: 1,
  load: 1,
  seconds: 1,
  owners: 1,
  runners: 30,
  slots: 8,
};

function createTasks(job: number): PlacementTask[] {
  const now = readClock();
  return Array.from({length: JOB_TASKS}, (_, index) => ({
    id: `zone-a.entry-0.000000000000.1/job-${job}#${index}`,
    job: `zone-a.entry-0.000000000000.1/job-${job}`,
    index,
    team: `team-${job % 8}`,
    target: {kind: BackendKind.Runner, service: 'quotes'},
    declaredMs: 100,
    repeatable: false,
    deadlineAt: now + 600_000,
    payload: null,
  }));
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

async function measureMemory(tasks: number): Promise<void> {
  const lifecycle = new Lifecycle('memory');
  const lists = Array.from({length: tasks / JOB_TASKS}, (_, job) =>
    createTasks(job),
  );
  const [placement] = createFleet({
    owners: 1,
    servers: createServers(options),
    policy: PolicyKind.Holding,
    betweenZonesMs: 1,
    lifecycle,
    counters: {},
    onEnd: () => undefined,
    runners: {start: () => new Promise(() => undefined)},
  });
  const before = heapBytes();
  for (const list of lists) placement?.enqueue(list, readClock());
  await sleep(500);
  const bytes = heapBytes() - before;
  const waiting = placement?.waiting(readClock())[0]?.waiting ?? 0;
  console.log(`waiting ${waiting}, ${Math.round(bytes / tasks)} bytes each`);
  await lifecycle.close();
}

async function measureStarts(tasks: number): Promise<void> {
  const lifecycle = new Lifecycle('starts');
  let ended = 0;
  const [placement] = createFleet({
    owners: 1,
    servers: createServers(options),
    policy: PolicyKind.Holding,
    betweenZonesMs: 1,
    lifecycle,
    counters: {},
    onEnd: () => (ended += 1),
    runners: {
      start: async () => {
        await new Promise(resolve => setImmediate(resolve));
        return {kind: StartKind.Done, result: 1, runMs: 1};
      },
    },
  });
  const before = process.cpuUsage();
  const startedAt = readClock();
  for (let job = 0; job < tasks / JOB_TASKS; job += 1) {
    placement?.enqueue(createTasks(job), readClock());
    if (job % 10 === 9) await new Promise(resolve => setImmediate(resolve));
  }
  while (ended < tasks) await sleep(5);
  const {user, system} = process.cpuUsage(before);
  const perSecond = (ended * 1_000) / (readClock() - startedAt);
  console.log(
    `${Math.round(perSecond)} starts a second,`,
    `${Math.round((user + system) / ended)} microseconds of CPU time each`,
  );
  await lifecycle.close();
}

const count = Number(process.argv[2] ?? 20_000);
await measureMemory(count);
await measureStarts(count);
