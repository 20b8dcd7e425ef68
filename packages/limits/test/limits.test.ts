import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode, Ran} from '@goldcrestpier/protocol';
import fc from 'fast-check';
import {
  checkAdmission,
  DrainRate,
  FairQueue,
  Heap,
  StartBudget,
  type AdmissionInput,
} from '../src/index.js';

const SEED = 20_261;

test('a heap gives its entries in order, whatever is moved or removed', () => {
  const step = fc.tuple(fc.nat(2), fc.nat(1_000), fc.nat(50));
  fc.assert(
    fc.property(fc.array(step), steps => {
      const heap = new Heap<number>();
      const entries = steps.map(([, priority], i) => heap.push(i, priority));
      steps.forEach(([kind, priority, at]) => {
        const entry = entries[at];
        if (entry === undefined) return;
        if (kind === 0) heap.remove(entry);
        if (kind === 1) heap.move(entry, priority);
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

test('teams with a backlog are served by weight', () => {
  const weight = fc.integer({min: 1, max: 8});
  fc.assert(
    fc.property(fc.array(weight, {minLength: 2, maxLength: 6}), list => {
      const queue = new FairQueue<number>();
      const weights = Object.fromEntries(list.map((w, i) => [`t${i}`, w]));
      for (const team of Object.keys(weights)) {
        for (let i = 0; i < 500; i += 1) queue.push(team, i);
      }
      const served = new Map<string, number>();
      const total = 200;
      for (let i = 0; i < total; i += 1) {
        const team = queue.take(weights, 1)?.team ?? '';
        served.set(team, (served.get(team) ?? 0) + 1);
      }
      const sum = list.reduce((a, b) => a + b, 0);
      for (const [team, w] of Object.entries(weights)) {
        const due = (total * w) / sum;
        // Turns come in whole tasks, and a heavy team takes several in a row.
        assert.ok(Math.abs((served.get(team) ?? 0) - due) <= list.length + 8);
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

test('a team is served in order, and places are left from the middle', () => {
  const operation = fc.tuple(fc.nat(3), fc.nat(30));
  fc.assert(
    fc.property(fc.array(operation), operations => {
      const queue = new FairQueue<number>();
      const places: Array<ReturnType<typeof queue.push>> = [];
      let expected: number[] = [];
      operations.forEach(([kind, at], i) => {
        const place = places[at];
        if (kind < 2) {
          places.push(queue.push('team', i));
          expected.push(i);
        } else if (kind === 2 && place !== undefined) {
          const waited = expected.includes(place.item);
          assert.equal(queue.remove(place), waited);
          expected = expected.filter(item => item !== place.item);
        } else {
          assert.equal(queue.take({}, 1)?.item, expected.shift());
        }
        assert.equal(queue.size, expected.length);
      });
    }),
    {seed: SEED},
  );
});

test('what is put back goes first again', () => {
  const queue = new FairQueue<string>();
  queue.push('team', 'first');
  queue.push('team', 'second');
  const place = queue.take({}, 1);
  assert.ok(place);
  queue.putBack(place);
  assert.equal(queue.take({}, 1)?.item, 'first');
});

test('the drain rate counts only time with a backlog', () => {
  const rate = new DrainRate();
  assert.equal(rate.perSecond(0), undefined);
  rate.record(0, true, 0);
  for (let now = 10; now <= 2_000; now += 10) rate.record(1, true, now);
  const busy = rate.perSecond(2_000) ?? 0;
  assert.ok(busy > 95 && busy < 105, `${busy}`);
  rate.record(0, false, 2_000);
  const later = rate.perSecond(5_000) ?? 0;
  assert.ok(later > 95 && later < 105, `${later}`);
});

test('a budget allows a share of first starts and no more', () => {
  const budget = new StartBudget();
  let spent = 0;
  for (let i = 0; i < 1_000; i += 1) {
    budget.earn(0.1);
    if (budget.spend()) spent += 1;
  }
  assert.ok(spent >= 100 && spent <= 111, `${spent}`);
});

const input: AdmissionInput = {
  team: 'a',
  adding: 10,
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

test('a job waits for its fair share only, not for the whole queue', () => {
  assert.ok(checkAdmission(input).isOk());
  const slow = checkAdmission({...input, deadlineMs: 400});
  assert.ok(slow.isErr());
  assert.equal(slow.error.code, FailureCode.WaitTooLong);
  assert.equal(slow.error.retryAfterMs, 100);
});

test('each refusal is not run and says when to come back', () => {
  const full = checkAdmission({...input, maxWaiting: 1_000});
  assert.ok(full.isErr());
  assert.equal(full.error.code, FailureCode.QueueFull);
  assert.equal(full.error.ran, Ran.NotRun);
  assert.equal(full.error.retryAfterMs, 200);
  const quota = checkAdmission({...input, quota: 15});
  assert.ok(quota.isErr());
  assert.equal(quota.error.code, FailureCode.QuotaExceeded);
  assert.equal(quota.error.retryAfterMs, 50);
});

test('a job that finds an empty queue is taken in, however slow it was', () => {
  const slow = {...input, startsPerSecond: 1};
  assert.ok(checkAdmission(slow).isErr());
  assert.ok(checkAdmission({...slow, backlog: []}).isOk());
});

test('a queue that has not begun to drain refuses nobody by its rate', () => {
  const rate = new DrainRate();
  rate.record(0, true, 0);
  // Half a second without a start, as on a busy host, is no rate of zero.
  const startsPerSecond = rate.perSecond(500);
  const patient = {...input, startsPerSecond, deadlineMs: 60_000};
  assert.ok(checkAdmission(patient).isOk());
});

test('a queue that stops draining has a rate that falls', () => {
  const rate = new DrainRate();
  rate.record(0, true, 0);
  for (let now = 10; now <= 2_000; now += 10) rate.record(1, true, now);
  const stopped = rate.perSecond(20_000) ?? Infinity;
  assert.ok(stopped < 1, `${stopped}`);
});
