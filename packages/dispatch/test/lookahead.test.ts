import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Dispatcher,
  RunEnd,
  StartAnswer,
  type Job,
  type PlannedCounts,
  type Run,
} from '../src/index.js';
import {CapacityForecast} from '../src/placement/capacity_forecast.js';
import {ResourceProfile} from '../src/placement/resource_profile.js';
import {WaitingSizes} from '../src/placement/waiting_sizes.js';
import {WorkerRecord} from '../src/workers/index.js';
import {
  createJob,
  createReport,
  createWorker,
  noopObserver,
  options,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';
import {simulateSizes, type SimulatedTail} from './fixtures/simulated_load.js';
import {createUnevenSizes} from './fixtures/uneven_sizes.js';

function need(cpuMillis: number, memoryMb = 64, accelerators = 0) {
  return {cpuMillis, memoryMb, accelerators};
}

// Guards against a place for each ending run, whatever the task needs.
test('two runs that end release both their amounts beside what is free', () => {
  const releases = [
    {at: 50, need: need(5_000)},
    {at: 30, need: need(4_000)},
  ];
  const profile = ResourceProfile.create(need(3_000, 640), releases, 0);
  assert.deepEqual(profile.listVacancies(need(12_000), 9), [50]);
  assert.deepEqual(profile.listVacancies(need(6_000), 9), [30, 50]);
  assert.deepEqual(profile.listVacancies(need(12_000, 9_000), 9), []);
  assert.deepEqual(profile.listVacancies(need(1_000, 64, 1), 9), []);
});

// Guards against a reservation that takes the whole worker, or never ends.
test('a reservation leaves the rest of the worker to others', () => {
  const releases = [{at: 50, need: need(8_000)}];
  const profile = ResourceProfile.create(need(8_000, 640), releases, 0);
  profile.reserve(need(10_000), 50, 100);
  assert.equal(profile.findFree(0, 50).cpuMillis, 8_000);
  assert.equal(profile.findFree(0, 51).cpuMillis, 6_000);
  assert.equal(profile.findFree(100, Infinity).cpuMillis, 16_000);
});

// Guards against a fit that looks at processors alone.
test('the fit counts the sizes that wait, in all resources', () => {
  const needs = [need(9_000), need(7_000, 512)];
  const sizes = new WaitingSizes(needs, [need(16_000, 1_024)]);
  assert.equal(sizes.isUneven, true);
  assert.equal(sizes.measureWaste(need(7_000, 0)) > 0, true);
  const [fitting, left] = [need(7_000, 512), need(8_000, 512)];
  assert.ok(sizes.measureWaste(fitting) < sizes.measureWaste(left));
});

// Guards against capacity held idle where sizes are even.
test('equal tasks that fill their workers are placed without reservations', () => {
  const [small, odd] = [need(8_000), need(7_000)];
  const workers = [need(16_000, 100_000), need(24_000, 100_000)];
  assert.equal(new WaitingSizes([small, small], workers).isUneven, false);
  assert.equal(new WaitingSizes([odd, odd], workers).isUneven, true);
  assert.equal(new WaitingSizes([], workers).isUneven, false);
  const worker = new WorkerRecord(createWorker('w1'));
  const even = new CapacityForecast(0, new WaitingSizes([], []), 2);
  const use = {worker, need: small, startAt: 20, expectedMs: 200};
  assert.equal(even.reserve(use), false);
});

/** A job of one step that has this size and time. */
function createSized(
  id: string,
  tasks: number,
  cpuMillis: number,
  estimateMs: number,
): Job {
  const steps = [{tasks, need: need(cpuMillis), estimateMs, after: []}];
  return createJob(id, tasks, {steps, targetMs: 400, deadlineAt: 5_000});
}

/** A holder of one worker of 16 processors, and what it has planned. */
function createHolder() {
  const planned: PlannedCounts[] = [];
  const observer = {
    ...noopObserver,
    startsPlanned: (counts: PlannedCounts) => planned.push(counts),
  };
  const dispatcher = new Dispatcher(options, -10_000, observer);
  const capacity = need(16_000, 100_000);
  dispatcher.setWorkers([createWorker('w1', {capacity})], 0);
  dispatcher.confirmWorkerList();
  pollAllWorkers(dispatcher, 0);
  return {dispatcher, planned};
}

function startDue(dispatcher: Dispatcher, now: number): Run[] {
  return dispatcher.tick(now).flatMap(command => {
    if (command.kind !== 'start') return [];
    dispatcher.handleStartAnswer(command.run, StartAnswer.Started, now);
    return [command.run];
  });
}

/** Starts a run of 8 processors and 100 ms; a task of 12 waits for its end. */
function holdCapacity() {
  const {dispatcher, planned} = createHolder();
  dispatcher.submit(createSized('a', 1, 8_000, 100), false, 0);
  const [first] = startDue(dispatcher, 0);
  assert.ok(first !== undefined);
  dispatcher.submit(createSized('b', 1, 12_000, 600), false, 10);
  assert.deepEqual(startDue(dispatcher, 10), []);
  return {dispatcher, planned, first};
}

// Guards against small tasks that take a gap which a large one waits for.
test('a small task starts beside a reservation only if it ends before', () => {
  const {dispatcher, planned} = holdCapacity();
  const long = createSized('c', 1, 6_000, 620);
  const short = createSized('d', 1, 6_000, 20);
  dispatcher.submit({...long, arrivedAt: 12, priority: 9}, false, 12);
  dispatcher.submit({...short, arrivedAt: 12, priority: 99}, false, 12);
  const started = startDue(dispatcher, 12);
  assert.deepEqual(
    started.map(({recordId}) => recordId),
    ['d'],
  );
  const backfilled = planned.map(({backfilledStarts}) => backfilledStarts);
  assert.deepEqual(backfilled.filter(Boolean), [1]);
});

// Guards against capacity that is held for a task which doesn't get it.
test('the task that holds capacity starts when the run before it ends', () => {
  const {dispatcher, planned, first} = holdCapacity();
  const end = {sequence: 1, task: first.key, run: 1, end: RunEnd.Done};
  dispatcher.handleReport('w1', createReport([], [end]), 99, 100);
  const started = startDue(dispatcher, 100);
  assert.deepEqual(
    started.map(({recordId}) => recordId),
    ['b'],
  );
  assert.equal(planned.at(-1)?.reservedStarts, 1);
});

// Guards against capacity that is held as long as a run is overdue.
test('a run that ends later than expected holds up no small task for long', () => {
  const {dispatcher, first} = holdCapacity();
  const small = createSized('c', 1, 6_000, 200);
  dispatcher.submit({...small, arrivedAt: 20, priority: 99}, false, 20);
  let startedAt = 0;
  for (let now = 20; now < 2_000 && startedAt === 0; now += 20) {
    const running = [{task: first.key, run: 1, percent: 10}];
    dispatcher.handleReport('w1', createReport(running), now, now);
    if (startDue(dispatcher, now).length > 0) startedAt = now;
  }
  const ended = dispatcher
    .takeEndedJobs()
    .map(({id, outcome}) => [id, outcome.kind]);
  assert.ok(startedAt > 0 && startedAt < 700, `${startedAt} ${ended.join()}`);
});

/** Results by size of two seeds: small, middle and large tasks. */
function simulateBySize(busyShare: number, tail?: SimulatedTail) {
  const results = [1, 2].map(seed => {
    const base = {seed, busyShare, workers: 41, lengthMs: 8_000};
    return simulateSizes(createUnevenSizes({...base, ...(tail && {tail})}));
  });
  return [0, 1, 2].map(index => {
    const both = results.map(sizes => sizes[index]?.served ?? 0);
    return both.reduce((sum, share) => sum + share, 0) / both.length;
  });
}

// Guards against large tasks that starve beside small ones.
test('near capacity and above it, large tasks are served nearly as often as small ones', t => {
  for (const [busyShare, least] of [
    [0.9, 0.85],
    [1.1, 0.6],
  ] as const) {
    const [small = 0, , large = 0] = simulateBySize(busyShare);
    t.diagnostic(`load ${busyShare}: small ${small}, large ${large}`);
    assert.ok(large > least * small, `${large} of the large, ${small}`);
  }
});

// Guards against forecasts that long runs make useless.
test('no size starves when some tasks take seven times as long as declared', t => {
  const shares = simulateBySize(0.8, {share: 0.03, factor: 7});
  t.diagnostic(`served by size: ${shares.join(' ')}`);
  for (const share of shares) assert.ok(share > 0.75, `${share}`);
});
