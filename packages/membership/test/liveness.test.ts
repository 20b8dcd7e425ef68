import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {defaultLivenessTiming, Liveness, OwnerClocks} from '../src/index.js';

const SEED = 20_261_203;
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

test('a clock that was heard after the arrival is turned back to it', () => {
  const clocks = new OwnerClocks();
  clocks.note('owner', 7_000, 500);
  assert.equal(clocks.find('owner', 400), 6_900);
  assert.equal(clocks.find('owner', 500), 7_000);
  assert.equal(clocks.find('owner', 900), 7_000);
  assert.equal(clocks.find('other', 500), undefined);
});

test("no reading ever says more than the owner's clock showed at the arrival", () => {
  const delay = fc.nat(3_000);
  const reading = fc.record({waitMs: fc.nat(2_000), travelMs: delay});
  fc.assert(
    fc.property(
      fc.array(reading, {maxLength: 30}),
      fc.nat(30_000),
      fc.integer({min: -1_000_000, max: 1_000_000}),
      (readings, arrivedAt, aheadMs) => {
        const clocks = new OwnerClocks();
        let heardAt = 0;
        for (const {waitMs, travelMs} of readings) {
          heardAt += waitMs;
          const sentAt = heardAt - travelMs + aheadMs;
          clocks.note('owner', sentAt, heardAt);
        }
        const found = clocks.find('owner', arrivedAt);
        if (found !== undefined) assert.ok(found <= arrivedAt + aheadMs);
      },
    ),
    {seed: SEED, numRuns: 500},
  );
});
