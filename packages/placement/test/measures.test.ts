import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantEnd} from '@goldcrestpier/peers';
import {ServerState} from '@goldcrestpier/platform';
import {BackendKind, FailureCode, Ran} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {EjectionReason} from '../src/counters.js';
import {
  HealthState,
  PoolEjections,
  ServerHealth,
} from '../src/ejection/index.js';
import {LearnedNeeds} from '../src/fit/index.js';
import {RunEstimates, ServerSpeed} from '../src/speeds/index.js';
import {createTasks, openFleet} from './fixtures/fleet.js';

const rules = {failures: 3, baseMs: 100, maxMs: 400, maxShare: 0.34};

function createEjections(count: number) {
  const healths = Array.from({length: count}, () => new ServerHealth());
  const reasons: EjectionReason[] = [];
  const ejections = new PoolEjections({
    healths: () => healths,
    rules: () => rules,
  });
  const end = (at: number, how: GrantEnd, now = 0) => {
    const health = healths[at];
    assert.ok(health);
    const reason = ejections.record(health, how, now);
    if (reason !== undefined) reasons.push(reason);
    return health;
  };
  const fail = (at: number, times: number, now: number) => {
    for (let i = 1; i < times; i += 1) end(at, GrantEnd.Failed, now);
    return end(at, GrantEnd.Failed, now);
  };
  return {healths, reasons, end, fail};
}

test('a server is ejected for longer each time, and back after a good probe', () => {
  const {end, fail} = createEjections(3);
  const health = fail(0, 3, 0);
  assert.equal(health.stateAt(99), HealthState.Ejected);
  assert.equal(health.stateAt(100), HealthState.Probing);
  fail(0, 1, 100);
  assert.equal(health.stateAt(299), HealthState.Ejected);
  assert.equal(health.stateAt(300), HealthState.Probing);
  end(0, GrantEnd.Done, 300);
  assert.equal(health.stateAt(300), HealthState.Live);
});

test('lost answers eject sooner than failed tasks', () => {
  const {reasons, end} = createEjections(3);
  end(0, GrantEnd.Unknown);
  end(0, GrantEnd.Unknown);
  assert.deepEqual(reasons, [EjectionReason.Unknown]);
});

test('no more than the set share of servers is away at once', () => {
  const {healths, fail} = createEjections(6);
  healths.forEach((_health, at) => fail(at, 3, 0));
  const away = healths.filter(
    health => health.stateAt(0) === HealthState.Ejected,
  );
  assert.equal(away.length, 2);
});

test('where most tasks fail on all servers, none is ejected for it', () => {
  const {reasons, end} = createEjections(6);
  // Two failures between successes, so that nobody fails three in a row yet.
  for (let round = 0; round < 10; round += 1) {
    for (let at = 0; at < 6; at += 1) {
      end(at, GrantEnd.Failed);
      end(at, GrantEnd.Failed);
      end(at, GrantEnd.Done);
    }
  }
  for (let i = 0; i < 60; i += 1) end(i % 6, GrantEnd.Failed);
  assert.deepEqual(reasons, []);
});

test('a speed is learned from runs and starts at the mean', () => {
  const speed = new ServerSpeed();
  assert.equal(speed.speed, 1);
  for (let i = 0; i < 60; i += 1) speed.record(50, 100);
  assert.ok(speed.speed > 1.8 && speed.speed <= 2, `${speed.speed}`);
  for (let i = 0; i < 200; i += 1) speed.record(500, 100);
  assert.ok(speed.speed < 0.3, `${speed.speed}`);
});

test('declared run times are corrected, and trusted as far as they tell', () => {
  const estimates = new RunEstimates();
  for (let i = 0; i < 200; i += 1) {
    const declared = 50 + ((i * 37) % 900);
    estimates.record('honest', declared, declared * 3);
    estimates.record('useless', 10 ** (i % 5), 200);
  }
  const honest = estimates.expectedMs('honest', 100);
  assert.ok(honest > 270 && honest < 330, `${honest}`);
  const useless = estimates.expectedMs('useless', 10_000);
  assert.ok(useless > 150 && useless < 260, `${useless}`);
});

test('percentiles follow the runs', () => {
  const estimates = new RunEstimates();
  assert.equal(estimates.percentileMs('kind', 0.95), undefined);
  for (let i = 1; i <= 1_000; i += 1) estimates.record('kind', undefined, i);
  const late = estimates.percentileMs('kind', 0.95) ?? 0;
  assert.ok(late >= 900 && late <= 1_150, `${late}`);
});

test('the larger of declared and measured is reserved, within a worker', () => {
  const learned = new LearnedNeeds();
  const declared = {processors: 1, memoryMb: 100, accelerators: 0};
  const largest = {processors: 8, memoryMb: 1_000, accelerators: 0};
  assert.deepEqual(learned.reserve('kind', declared, largest), declared);
  learned.record('kind', 3.2, 5_000);
  assert.deepEqual(learned.reserve('kind', declared, largest), {
    processors: 4,
    memoryMb: 1_000,
    accelerators: 0,
  });
});

test('needs that no worker can ever meet are refused at once', async () => {
  const worker = {
    name: 'w1',
    kind: BackendKind.Worker,
    zone: 'zone-a',
    pool: 'worker',
    address: '127.0.0.1:1',
    state: ServerState.Live,
    slots: 0,
    processors: 64,
    memoryMb: 1_000,
    accelerators: 0,
    rack: undefined,
  };
  const fleet = openFleet({servers: () => [worker]});
  const needs = {processors: 65, memoryMb: 1, accelerators: 0};
  const target = {kind: BackendKind.Worker, needs} as const;
  const [owner] = fleet.placements;
  const refused = owner?.enqueue(createTasks(1, {target}), readClock());
  assert.ok(refused?.isErr());
  assert.equal(refused.error.code, FailureCode.ImpossibleNeeds);
  assert.equal(refused.error.ran, Ran.NotRun);
  const unserved = owner?.enqueue(createTasks(1), readClock());
  assert.ok(unserved?.isErr());
  assert.equal(unserved.error.code, FailureCode.BackendUnavailable);
  await fleet.close();
});
