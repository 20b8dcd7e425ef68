import assert from 'node:assert/strict';
import {test} from 'node:test';
import {openSnapshots} from '@goldcrestpier/testing';
import {
  WorkerFault,
  countDelegations,
  simulateLoad,
  type SimulatedLoad,
  type SimulatedQueue,
  type QueueResult,
  type SimulatedWorker,
} from './fixtures/simulated_load.js';

const snapshots = openSnapshots(import.meta.url);

function createWorkers(
  count: number,
  injectedFault: WorkerFault,
): SimulatedWorker[] {
  const speeds = [0.55, 1.2, 1.2, 1.2];
  return Array.from({length: count}, (_, index) => ({
    cpuMillis: index % 3 === 2 ? 96_000 : 64_000,
    speed: speeds[index % speeds.length] ?? 1,
    fault: index === 1 ? injectedFault : WorkerFault.None,
  }));
}

function createLoad(
  factor: number,
  injectedFault: WorkerFault = WorkerFault.None,
): SimulatedLoad {
  return {
    seed: 7,
    lengthMs: 10_000,
    deadlineMs: 1_500,
    zones: [createWorkers(11, injectedFault)],
    queues: [
      {
        name: 'checks',
        priority: 0,
        jobsPerS: 8 * factor,
        tasks: 8,
        taskMs: 60,
        targetMs: 60,
      },
      {
        name: 'runs',
        priority: 2,
        jobsPerS: 1.5 * factor,
        tasks: 4,
        taskMs: 900,
        targetMs: 60,
      },
      {
        name: 'quotes',
        priority: 1,
        jobsPerS: 23 * factor,
        tasks: 2,
        taskMs: 200,
        targetMs: 60,
      },
    ],
  };
}

/** A queue with `busyShare` of the jobs a second that it has at full load. */
function createQueue(
  busyShare: number,
  name: string,
  priority: number,
  fullRate: number,
  tasks: number,
  taskMs: number,
): SimulatedQueue {
  const jobsPerS = busyShare * fullRate;
  return {name, priority, jobsPerS, tasks, taskMs, targetMs: 60};
}

/** Three zones with three kinds of workers, at `busyShare` of full load. */
function createThreeZoneLoad(busyShare: number): SimulatedLoad {
  const speeds = [1.9, 0.8, 0.8, 0.55, 0.8, 1.9, 0.55, 0.8, 1.9, 0.55, 0.8];
  const createZone = (offset: number) =>
    speeds.map((speed, index) => ({
      cpuMillis: (index + offset) % 4 === 2 ? 96_000 : 64_000,
      speed,
      fault: WorkerFault.None,
    }));
  return {
    seed: 7,
    lengthMs: 40_000,
    deadlineMs: 1_500,
    zones: [createZone(0), createZone(1), createZone(2)],
    queues: [
      createQueue(busyShare, 'checks', 0, 31, 7, 52),
      createQueue(busyShare, 'runs', 2, 5.6, 4, 727),
      createQueue(busyShare, 'quotes', 1, 90, 2, 173),
    ],
  };
}

test('at half load, jobs end in time nearly as often as without load', () => {
  const unloaded = simulateLoad({...createLoad(0.02), lengthMs: 400_000});
  const results = simulateLoad(createLoad(0.5));
  for (const name of ['checks', 'quotes']) {
    const ideal = computeInTimeShare(unloaded.get(name));
    const share = computeInTimeShare(results.get(name));
    assert.ok(share > 0.8 * ideal, `${name}: ${share}, ideal ${ideal}`);
  }
  snapshots.match('half load', Object.fromEntries(results));
});

test('at double load, more jobs are refused than lost after a start', () => {
  const results = simulateLoad(createLoad(2));
  const quotes = results.get('quotes');
  assert.ok(quotes !== undefined);
  assert.ok(quotes.refused > quotes.lost);
  snapshots.match('double load', Object.fromEntries(results));
});

test('a worker that fails all tasks affects few jobs', () => {
  const healthy = simulateLoad(createLoad(0.5));
  const failing = simulateLoad(createLoad(0.5, WorkerFault.Fails));
  const served = (results: typeof healthy) => {
    const {jobs, inTime, late} = results.get('quotes') ?? EMPTY_COUNTS;
    return (inTime + late) / jobs;
  };
  assert.ok(served(failing) > served(healthy) - 0.05);
});

test('a worker whose tasks hang affects few jobs', () => {
  const results = simulateLoad(createLoad(0.5, WorkerFault.Hangs));
  const {jobs, inTime, late} = results.get('quotes') ?? EMPTY_COUNTS;
  assert.ok((inTime + late) / jobs > 0.9);
});

test('on busy workers, large jobs are served at least half as often as all jobs', () => {
  const seeds = [1, 2, 3, 4];
  const results = seeds.map(seed => {
    const load = {...createThreeZoneLoad(0.9), seed, lengthMs: 16_000};
    return simulateLoad(load).get('runs') ?? EMPTY_RESULT;
  });
  const served = results.map(({inTime, late, jobs}) => (inTime + late) / jobs);
  const largest = results.map(({largestTenth}) => largestTenth);
  assert.ok(sum(largest) >= sum(served) / 2, `${sum(largest)} of 4`);
});

test('under overload, no queue starves and refusals are prompt', () => {
  const results = simulateLoad(createThreeZoneLoad(1.2));
  for (const [name, result] of results) {
    const {inTime, late, jobs, refusedLate} = result;
    assert.ok((inTime + late) / jobs > 0.5, name);
    assert.ok(refusedLate < 0.05, `${name}: ${refusedLate}`);
  }
  snapshots.match('three zones at 1.2', Object.fromEntries(results));
});

/**
 * Jobs of many short tasks and of few long ones on workers of three speeds, as
 * the booking of lessons has them; 1 is as much as the workers can do.
 */
function createUnevenLoad(busyShare: number, zones: number): SimulatedLoad {
  const speeds = [0.6, 1, 1.6];
  const workers = Array.from({length: 33}, (_, index) => ({
    cpuMillis: 16_000,
    speed: speeds[index % speeds.length] ?? 1,
    fault: WorkerFault.None,
  }));
  const perZone = workers.length / zones;
  return {
    seed: 1,
    lengthMs: 15_000,
    deadlineMs: 1_500,
    tasks: {
      medianCpuMillis: 6_800,
      maxCpuMillis: 10_000,
      estimateSpread: 0.4,
    },
    zones: Array.from({length: zones}, (_, zone) =>
      workers.slice(zone * perZone, (zone + 1) * perZone),
    ),
    queues: [
      createQueue(busyShare, 'checks', 0, 24.1, 7.4, 55),
      createQueue(busyShare, 'runs', 2, 4.37, 3.7, 830),
      createQueue(busyShare, 'quotes', 1, 70, 1.85, 185),
    ],
  };
}

test('few of the tasks that zones delegate to each other are refused', () => {
  const {sent, refused} = countDelegations(createUnevenLoad(1, 3));
  assert.ok(sent > 1_000, `${sent}`);
  assert.ok(refused < 0.05 * sent, `${refused} of ${sent}`);
});

test('three zones serve nearly as many short jobs in time as one holder of all workers', () => {
  const {inTime: asOne} = findChecks(createUnevenLoad(1, 1));
  const {inTime} = findChecks(createUnevenLoad(1, 3));
  assert.ok(inTime > 0.98 * asOne, `${inTime}, one holder ${asOne}`);
});

function findChecks(load: SimulatedLoad): QueueResult {
  return simulateLoad(load).get('checks') ?? EMPTY_RESULT;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function computeInTimeShare(result: QueueResult | undefined): number {
  const {jobs, inTime} = result ?? EMPTY_COUNTS;
  return inTime / jobs;
}

const EMPTY_COUNTS = {jobs: 1, inTime: 0, late: 0};
const EMPTY_RESULT: QueueResult = {
  ...EMPTY_COUNTS,
  refused: 0,
  lost: 0,
  worth: 0,
  largestTenth: 0,
  worthOfLarge: 0,
  refusedLate: 0,
};
