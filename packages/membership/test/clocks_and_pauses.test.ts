import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  defaultPauseDetectorTiming,
  PauseDetector,
  RemoteClocks,
} from '../src/index.js';

const SEED = 20_261_203;
const {tickMs, pauseThresholdMs, staleReadMs} = defaultPauseDetectorTiming;

/** Ticks at the regular interval from `from` to `to`, in ms. */
function tick(detector: PauseDetector, from: number, to: number): void {
  for (let now = from; now <= to; now += tickMs) detector.tick(now);
}

test('without a pause, the arrival time is the tick before the last one', () => {
  const detector = new PauseDetector(0);
  tick(detector, 0, 1_000);
  assert.equal(detector.arrivalTime(1_010), 950);
  assert.equal(detector.resumedAt(1_010), undefined);
});

test('data read shortly after a pause counts as arrived before it', () => {
  const detector = new PauseDetector(0);
  tick(detector, 0, 1_000);
  const resumedAt = 61_000;
  detector.tick(resumedAt);
  assert.ok(detector.arrivalTime(resumedAt + 1) <= 1_000);
  assert.equal(detector.resumedAt(resumedAt + 1), resumedAt);
  tick(detector, resumedAt + tickMs, resumedAt + staleReadMs);
  assert.ok(detector.arrivalTime(resumedAt + staleReadMs) <= 1_000);
  const later = resumedAt + staleReadMs + 2 * tickMs;
  tick(detector, resumedAt + staleReadMs + tickMs, later);
  assert.ok(detector.arrivalTime(later) > resumedAt);
});

test('the first query detects a pause before any tick', () => {
  const detector = new PauseDetector(0);
  tick(detector, 0, 1_000);
  const now = 1_000 + pauseThresholdMs + 1;
  assert.ok(detector.arrivalTime(now) <= 1_000);
  assert.equal(detector.resumedAt(now), now);
});

test('a second pause soon after the first counts from before the first', () => {
  const detector = new PauseDetector(0);
  tick(detector, 0, 1_000);
  tick(detector, 10_000, 10_200);
  detector.tick(30_000);
  assert.ok(detector.arrivalTime(30_001) <= 1_000);
});

test('a submission that waited during a pause never looks younger than it is', () => {
  const detector = new PauseDetector(0);
  const clocks = new RemoteClocks();
  const ownerOffsetMs = 5_000_000;
  for (let now = 0; now <= 1_000; now += tickMs) {
    detector.tick(now);
    clocks.recordReading('owner', ownerOffsetMs + now, now);
  }
  // The process is paused at 1000. A request arrives at 1001 and a heartbeat
  // at 60000. After the pause the heartbeat happens to be read first.
  const now = 60_100;
  clocks.recordReading('owner', ownerOffsetMs + 60_000, now);
  const lowerBound =
    clocks.findLowerBound('owner', detector.arrivalTime(now)) ?? NaN;
  const actualAgeMs = now - 1_001;
  assert.ok(ownerOffsetMs + now - lowerBound >= actualAgeMs);
});

test('a clock reading received after the arrival is reduced by the difference', () => {
  const clocks = new RemoteClocks();
  clocks.recordReading('owner', 7_000, 500);
  assert.equal(clocks.findLowerBound('owner', 400), 6_900);
  assert.equal(clocks.findLowerBound('owner', 500), 7_000);
  assert.equal(clocks.findLowerBound('owner', 900), 7_000);
  assert.equal(clocks.findLowerBound('other', 500), undefined);
});

test("the lower bound never exceeds the owner's clock at the arrival time", () => {
  const delay = fc.nat(3_000);
  const reading = fc.record({waitMs: fc.nat(2_000), travelMs: delay});
  fc.assert(
    fc.property(
      fc.array(reading, {maxLength: 30}),
      fc.nat(30_000),
      fc.integer({min: -1_000_000, max: 1_000_000}),
      (readings, arrivedAt, offsetMs) => {
        const clocks = new RemoteClocks();
        let receivedAt = 0;
        for (const {waitMs, travelMs} of readings) {
          receivedAt += waitMs;
          const sentAt = receivedAt - travelMs + offsetMs;
          clocks.recordReading('owner', sentAt, receivedAt);
        }
        const found = clocks.findLowerBound('owner', arrivedAt);
        if (found !== undefined) assert.ok(found <= arrivedAt + offsetMs);
      },
    ),
    {seed: SEED, numRuns: 500},
  );
});
