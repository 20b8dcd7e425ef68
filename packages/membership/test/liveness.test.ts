import assert from 'node:assert/strict';
import {test} from 'node:test';
import {defaultLivenessTiming, Liveness, OwnerClocks} from '../src/index.js';

const {tickMs, gapMs, quarantineMs} = defaultLivenessTiming;

/** Ticks on time from `from` to `to`, in ms. */
function tick(liveness: Liveness, from: number, to: number): void {
  for (let now = from; now <= to; now += tickMs) liveness.tick(now);
}

test('what is read while the process runs arrived since the tick before the last', () => {
  const liveness = new Liveness(0);
  tick(liveness, 0, 1_000);
  assert.equal(liveness.arrivalTime(1_010), 950);
  assert.equal(liveness.resumedAt(1_010), undefined);
});

test('what is read after a stop is taken to have arrived before it', () => {
  const liveness = new Liveness(0);
  tick(liveness, 0, 1_000);
  const resumedAt = 61_000;
  liveness.tick(resumedAt);
  assert.ok(liveness.arrivalTime(resumedAt + 1) <= 1_000);
  assert.equal(liveness.resumedAt(resumedAt + 1), resumedAt);
  tick(liveness, resumedAt + tickMs, resumedAt + quarantineMs);
  assert.ok(liveness.arrivalTime(resumedAt + quarantineMs) <= 1_000);
  const later = resumedAt + quarantineMs + 2 * tickMs;
  tick(liveness, resumedAt + quarantineMs + tickMs, later);
  assert.ok(liveness.arrivalTime(later) > resumedAt);
});

test('a stop is noticed by the first question, before any tick', () => {
  const liveness = new Liveness(0);
  tick(liveness, 0, 1_000);
  const now = 1_000 + gapMs + 1;
  assert.ok(liveness.arrivalTime(now) <= 1_000);
  assert.equal(liveness.resumedAt(now), now);
});

test('a second stop soon after the first counts from before the first', () => {
  const liveness = new Liveness(0);
  tick(liveness, 0, 1_000);
  tick(liveness, 10_000, 10_200);
  liveness.tick(30_000);
  assert.ok(liveness.arrivalTime(30_001) <= 1_000);
});

test('a submission that waited through a stop never looks younger than it is', () => {
  const liveness = new Liveness(0);
  const clocks = new OwnerClocks();
  const ownerAhead = 5_000_000;
  for (let now = 0; now <= 1_000; now += tickMs) {
    liveness.tick(now);
    clocks.note('owner', ownerAhead + now, now);
  }
  // The process stops at 1000. A request arrives at 1001 and a heartbeat at
  // 60000; after the stop the heartbeat happens to be read first.
  const now = 60_100;
  clocks.note('owner', ownerAhead + 60_000, now);
  const heard = clocks.find('owner', liveness.arrivalTime(now)) ?? NaN;
  const trueAge = now - 1_001;
  assert.ok(ownerAhead + now - heard >= trueAge);
});

test('a clock that was not heard before the arrival is not known', () => {
  const clocks = new OwnerClocks();
  clocks.note('owner', 7, 500);
  assert.equal(clocks.find('owner', 499), undefined);
  assert.equal(clocks.find('owner', 500), 7);
  assert.equal(clocks.find('other', 500), undefined);
});
