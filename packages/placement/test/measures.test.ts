import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantEnd} from '@goldcrestpier/peers';
import {ServerState} from '@goldcrestpier/platform';
import {BackendKind, FailureCode, RunStatus} from '@goldcrestpier/protocol';
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
  const end = (at: number, outcome: GrantEnd, now = 0) => {
    const health = healths[at];
    assert.ok(health);
    const reason = ejections.record(health, outcome, now);
    if (reason !== undefined) reasons.push(reason);
    return health;
  };
  const fail = (at: number, times: number, now: number) => {
    for (let i = 1; i < times; i += 1) end(at, GrantEnd.Failed, now);
    return end(at, GrantEnd.Failed, now);
  };
  return {healths, reasons, end, fail};
}

test('ejections grow longer and end after a successful probe', () => {
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

test('lost answers eject a server sooner than failed tasks', () => {
  const {reasons, end} = createEjections(3);
  end(0, GrantEnd.Unknown);
  end(0, GrantEnd.Unknown);
  assert.deepEqual(reasons, [EjectionReason.Unknown]);
});

test('ejects no more than the configured share of servers at once', () => {
  const {healths, fail} = createEjections(6);
  healths.forEach((_health, at) => fail(at, 3, 0));
  const ejected = healths.filter(
    health => health.stateAt(0) === HealthState.Ejected,
  );
  assert.equal(ejected.length, 2);
});

test('ejects no server when most tasks fail on all servers', () => {
  const {reasons, end} = createEjections(6);
  // Two failures between successes, so that no server fails three in a row yet.
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

test('server speed starts at the mean and follows the runs', () => {
  const speed = new ServerSpeed();
  assert.equal(speed.speed, 1);
  for (let i = 0; i < 60; i += 1) speed.record(50, 100);
  assert.ok(speed.speed > 1.8 && speed.speed <= 2, `${speed.speed}`);
  for (let i = 0; i < 200; i += 1) speed.record(500, 100);
  assert.ok(speed.speed < 0.3, `${speed.speed}`);
});

test('corrects declared run times and ignores uninformative ones', () => {
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

test('run time percentiles follow the recorded runs', () => {
  const estimates = new RunEstimates();
  assert.equal(estimates.percentileMs('kind', 0.95), undefined);
  for (let i = 1; i <= 1_000; i += 1) estimates.record('kind', undefined, i);
  const late = estimates.percentileMs('kind', 0.95) ?? 0;
  assert.ok(late >= 900 && late <= 1_150, `${late}`);
});

test('reserves the larger of declared and measured needs, up to the largest worker', () => {
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

test('refuses needs that no worker can ever meet', async () => {
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
  assert.equal(refused.error.ran, RunStatus.NotRun);
  const unserved = owner?.enqueue(createTasks(1), readClock());
  assert.ok(unserved?.isErr());
  assert.equal(unserved.error.code, FailureCode.BackendUnavailable);
  await fleet.close();
});
