import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadDetector} from '../src/holder/overload_detector.js';

const TICK_INTERVAL_MS = 25;

/** Records ticks at these intervals; returns the overload state after each. */
function recordTicks(intervals: readonly number[]): boolean[] {
  const detector = new OverloadDetector(TICK_INTERVAL_MS);
  let now = 0;
  detector.recordTick(now);
  return intervals.map(interval => {
    now += interval;
    detector.recordTick(now);
    return detector.isOverloaded(now);
  });
}

test('a process is overloaded once no tick has been on time for a while', () => {
  assert.deepEqual(recordTicks([60, 60, 60, 60]), [false, true, true, true]);
});

test('one tick on time ends the overload', () => {
  assert.deepEqual(recordTicks([60, 60, 60, 30]), [false, true, true, false]);
});

test('a process counts as recently overloaded for a second after an overload', () => {
  const detector = new OverloadDetector(TICK_INTERVAL_MS);
  for (const now of [0, 60, 120, 180]) detector.recordTick(now);
  assert.equal(detector.wasRecentlyOverloaded(1_100), true);
  assert.equal(detector.wasRecentlyOverloaded(1_200), false);
});

test('pauses caused by a CPU quota do not count as overload', () => {
  assert.deepEqual(recordTicks([80, 25, 80, 25, 80, 25]).includes(true), false);
});

/** CPU time for a job that is served, and for one that is refused, in ms. */
const SERVE_COST_MS = 6;
const REFUSE_COST_MS = 0.4;
/** An answer after this time is too late, in ms. */
const ANSWER_DEADLINE_MS = 400;
const SIMULATED_MS = 10_000;

/**
 * Simulates a process that handles all waiting jobs in one turn of the event
 * loop; returns the share of jobs that it serves in time.
 */
function computeServedShare(
  jobsPerSecond: number,
  isShedding: boolean,
): number {
  const detector = new OverloadDetector(TICK_INTERVAL_MS);
  let now = 0;
  let nextTickAt = 0;
  let arrived = 0;
  let servedInTime = 0;
  while (now < SIMULATED_MS) {
    const dueJobs = Math.floor((now * jobsPerSecond) / 1_000);
    if (now >= nextTickAt) {
      detector.recordTick(now);
      nextTickAt = now + TICK_INTERVAL_MS;
    }
    const turnStartedAt = now;
    for (; arrived < dueJobs; arrived += 1) {
      const arrivedAt = (arrived * 1_000) / jobsPerSecond;
      const isRefused = isShedding && detector.isOverloaded(turnStartedAt);
      now += isRefused ? REFUSE_COST_MS : SERVE_COST_MS;
      if (!isRefused && now - arrivedAt <= ANSWER_DEADLINE_MS)
        servedInTime += 1;
    }
    now += 1;
  }
  return servedInTime / arrived;
}

test('at 150 percent load a holder that sheds jobs serves more than half of them in time', () => {
  assert.ok(computeServedShare(250, false) < 0.1);
  assert.ok(computeServedShare(250, true) > 0.5);
});
