import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode, RunStatus} from '@goldcrestpier/protocol';
import fc from 'fast-check';
import {
  checkAdmission,
  DrainRate,
  FairQueue,
  Heap,
  RetryBudget,
  type AdmissionInput,
} from '../src/index.js';

const SEED = 20_261;

test('a heap returns entries in order after updates and removals', () => {
  const step = fc.tuple(fc.nat(2), fc.nat(1_000), fc.nat(50));
  fc.assert(
    fc.property(fc.array(step), steps => {
      const heap = new Heap<number>();
      const entries = steps.map(([, priority], i) => heap.push(i, priority));
      steps.forEach(([kind, priority, at]) => {
        const entry = entries[at];
        if (entry === undefined) return;
        if (kind === 0) heap.remove(entry);
        if (kind === 1) heap.updatePriority(entry, priority);
      });
      const expected = entries
        .filter(({index}) => index >= 0)
        .map(({priority}) => priority)
        .sort((a, b) => a - b);
      const found = expected.map(() => heap.pop()?.priority);
      assert.deepEqual(found, expected);
      assert.equal(heap.size, 0);
    }),
    {seed: SEED},
  );
});

test('teams with a backlog are served in proportion to their weights', () => {
  const weight = fc.integer({min: 1, max: 8});
  fc.assert(
    fc.property(fc.array(weight, {minLength: 2, maxLength: 6}), weightList => {
      const queue = new FairQueue<number>();
      const weights = Object.fromEntries(
        weightList.map((teamWeight, i) => [`t${i}`, teamWeight]),
      );
      for (const team of Object.keys(weights)) {
        for (let i = 0; i < 500; i += 1) queue.push(team, i);
      }
      const served = new Map<string, number>();
      const total = 200;
      for (let i = 0; i < total; i += 1) {
        const team = queue.take(weights, 1)?.team ?? '';
        served.set(team, (served.get(team) ?? 0) + 1);
      }
      const sum = weightList.reduce((a, b) => a + b, 0);
      for (const [team, teamWeight] of Object.entries(weights)) {
        const expectedTurns = (total * teamWeight) / sum;
        // Tasks are indivisible; a team of high weight gets several in a row.
        assert.ok(
          Math.abs((served.get(team) ?? 0) - expectedTurns) <=
            weightList.length + 8,
        );
      }
    }),
    {seed: SEED},
  );
});

test('a team that sends one task at a time does not starve a backlog', () => {
  const queue = new FairQueue<number>();
  for (let i = 0; i < 100; i += 1) queue.push('batch', i);
  let batch = 0;
  for (let i = 0; i < 100; i += 1) {
    if (queue.sizeOf('single') === 0) queue.push('single', i);
    if (queue.take({}, 1)?.team === 'batch') batch += 1;
  }
  assert.ok(batch >= 49, `${batch} of 100`);
});

test('a team is served in FIFO order, and entries can be removed from the middle', () => {
  const operation = fc.tuple(fc.nat(3), fc.nat(30));
  fc.assert(
    fc.property(fc.array(operation), operations => {
      const queue = new FairQueue<number>();
      const queuedEntries: Array<ReturnType<typeof queue.push>> = [];
      let expected: number[] = [];
      operations.forEach(([kind, at], i) => {
        const queued = queuedEntries[at];
        if (kind < 2) {
          queuedEntries.push(queue.push('team', i));
          expected.push(i);
        } else if (kind === 2 && queued !== undefined) {
          const waited = expected.includes(queued.item);
          assert.equal(queue.remove(queued), waited);
          expected = expected.filter(item => item !== queued.item);
        } else {
          assert.equal(queue.take({}, 1)?.item, expected.shift());
        }
        assert.equal(queue.size, expected.length);
      });
    }),
    {seed: SEED},
  );
});

test('a requeued entry is served first', () => {
  const queue = new FairQueue<string>();
  queue.push('team', 'first');
  queue.push('team', 'second');
  const queued = queue.take({}, 1);
  assert.ok(queued);
  queue.requeue(queued);
  assert.equal(queue.take({}, 1)?.item, 'first');
});

test('the drain rate counts only time with a backlog', () => {
  const rate = new DrainRate();
  assert.equal(rate.getStartsPerSecond(0), undefined);
  rate.record(0, true, 0);
  for (let now = 10; now <= 2_000; now += 10) rate.record(1, true, now);
  const busy = rate.getStartsPerSecond(2_000) ?? 0;
  assert.ok(busy > 95 && busy < 105, `${busy}`);
  rate.record(0, false, 2_000);
  const later = rate.getStartsPerSecond(5_000) ?? 0;
  assert.ok(later > 95 && later < 105, `${later}`);
});

test('a drain rate is reported until its measurements expire', () => {
  const rate = new DrainRate();
  assert.equal(rate.getTimeToExpiry(0), 0);
  rate.record(0, true, 0);
  for (let now = 10; now <= 2_000; now += 10) rate.record(1, true, now);
  rate.record(0, false, 2_000);
  const expiresAt = 2_000 + rate.getTimeToExpiry(2_000);
  assert.notEqual(rate.getStartsPerSecond(expiresAt - 1), undefined);
  assert.equal(rate.getStartsPerSecond(expiresAt + 1), undefined);
});

test('a drain rate of few starts is reported until these expire', () => {
  const rate = new DrainRate();
  rate.record(0, true, 0);
  for (let now = 100; now <= 1_200; now += 100) rate.record(1, true, now);
  rate.record(0, false, 1_200);
  const expiresAt = 1_200 + rate.getTimeToExpiry(1_200);
  assert.notEqual(rate.getStartsPerSecond(expiresAt - 1), undefined);
  assert.equal(rate.getStartsPerSecond(expiresAt + 1), undefined);
});

test('a retry budget allows only a share of first starts', () => {
  const budget = new RetryBudget();
  let spent = 0;
  for (let i = 0; i < 1_000; i += 1) {
    budget.deposit(0.1);
    if (budget.withdraw()) spent += 1;
  }
  assert.ok(spent >= 100 && spent <= 111, `${spent}`);
});

const input: AdmissionInput = {
  team: 'a',
  newTasks: 10,
  backlog: [
    {team: 'a', waiting: 10},
    {team: 'b', waiting: 1_000},
  ],
  maxWaiting: 2_000,
  teamTasks: 10,
  quota: undefined,
  weights: {},
  startsPerSecond: 100,
  expectedRunMs: 100,
  deadlineMs: 1_000,
};

test('the estimated wait covers the fair share of a team, not the whole queue', () => {
  assert.ok(checkAdmission(input).isOk());
  const slow = checkAdmission({...input, deadlineMs: 400});
  assert.ok(slow.isErr());
  assert.equal(slow.error.code, FailureCode.WaitTooLong);
  assert.equal(slow.error.retryAfterMs, 100);
});

test('each refusal is "not run" and has a retry delay', () => {
  const full = checkAdmission({...input, maxWaiting: 1_000});
  assert.ok(full.isErr());
  assert.equal(full.error.code, FailureCode.QueueFull);
  assert.equal(full.error.ran, RunStatus.NotRun);
  assert.equal(full.error.retryAfterMs, 200);
  const quota = checkAdmission({...input, quota: 15});
  assert.ok(quota.isErr());
  assert.equal(quota.error.code, FailureCode.QuotaExceeded);
  assert.equal(quota.error.retryAfterMs, 50);
});

test('an empty queue admits a job regardless of its measured drain rate', () => {
  const slow = {...input, startsPerSecond: 1};
  assert.ok(checkAdmission(slow).isErr());
  assert.ok(checkAdmission({...slow, backlog: []}).isOk());
});

test('a queue without any start yet has no drain rate and admits a job', () => {
  const rate = new DrainRate();
  rate.record(0, true, 0);
  // Half a second without a start, as on a busy host, is not a rate of zero.
  const startsPerSecond = rate.getStartsPerSecond(500);
  const patient = {...input, startsPerSecond, deadlineMs: 60_000};
  assert.ok(checkAdmission(patient).isOk());
});

// Guards against "wait_too_long" of 78 s after one start in the first second.
test('a first start alone is no drain rate, and a job is admitted', () => {
  const rate = new DrainRate();
  rate.record(0, true, 0);
  rate.record(1, true, 10);
  const startsPerSecond = rate.getStartsPerSecond(920);
  const backlog = [{team: 'a', waiting: 85}];
  const patient = {...input, backlog, startsPerSecond, deadlineMs: 60_000};
  assert.ok(checkAdmission(patient).isOk());
});

// Guards against a rate near 0 at the first backlog after a long quiet time.
test('an expired measurement is not part of the next drain rate', () => {
  const rate = new DrainRate();
  rate.record(0, true, 0);
  for (let now = 10; now <= 2_000; now += 10) rate.record(1, true, now);
  rate.record(0, false, 2_000);
  rate.record(0, true, 30_000);
  const startsPerSecond = rate.getStartsPerSecond(30_500);
  const patient = {...input, startsPerSecond, deadlineMs: 60_000};
  assert.ok(checkAdmission(patient).isOk());
  for (let now = 30_510; now <= 31_000; now += 10) rate.record(1, true, now);
  const starts = rate.getStartsPerSecond(31_000) ?? 0;
  assert.ok(starts > 40 && starts < 60, `${starts}`);
});

// Guards against a queue that never refuses as it starts its tasks slowly.
test('a queue that starts a task each 2 s has a drain rate after its tenth', () => {
  const rate = new DrainRate();
  rate.record(0, true, 0);
  for (let start = 1; start <= 10; start += 1)
    rate.record(1, true, start * 2_000);
  const startsPerSecond = rate.getStartsPerSecond(20_001);
  assert.ok(checkAdmission({...input, startsPerSecond}).isErr());
});

test('the drain rate falls when a queue stops draining', () => {
  const rate = new DrainRate();
  rate.record(0, true, 0);
  for (let now = 10; now <= 2_000; now += 10) rate.record(1, true, now);
  const stopped = rate.getStartsPerSecond(20_000) ?? Infinity;
  assert.ok(stopped < 1, `${stopped}`);
});
