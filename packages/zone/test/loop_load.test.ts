import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoopLoad} from '../src/holder/loop_load.js';

const STEP_INTERVAL_MS = 25;

/** Records steps at these intervals; returns after each whether it is overloaded. */
function recordSteps(intervals: readonly number[]): boolean[] {
  const load = new LoopLoad(STEP_INTERVAL_MS);
  let now = 0;
  load.recordTick(now);
  return intervals.map(interval => {
    now += interval;
    load.recordTick(now);
    return load.isOverloaded(now);
  });
}

test('a process is overloaded once no step was in time for a while', () => {
  assert.deepEqual(recordSteps([60, 60, 60, 60]), [false, true, true, true]);
});

test('one step in time ends the overload', () => {
  assert.deepEqual(recordSteps([60, 60, 60, 30]), [false, true, true, false]);
});

test('a process still counts as strained for a second after an overload', () => {
  const load = new LoopLoad(STEP_INTERVAL_MS);
  for (const now of [0, 60, 120, 180]) load.recordTick(now);
  assert.equal(load.wasRecentlyOverloaded(1_100), true);
  assert.equal(load.wasRecentlyOverloaded(1_200), false);
});

test('pauses caused by a CPU quota do not count as overload', () => {
  assert.deepEqual(recordSteps([80, 25, 80, 25, 80, 25]).includes(true), false);
});

/** CPU time for a job that is served, and for one that is refused, in ms. */
const SERVE_COST_MS = 6;
const REFUSE_COST_MS = 0.4;
/** An answer after this time is of no use, in ms. */
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
  const load = new LoopLoad(STEP_INTERVAL_MS);
  let now = 0;
  let nextStepAt = 0;
  let arrived = 0;
  let servedInTime = 0;
  while (now < SIMULATED_MS) {
    const dueJobs = Math.floor((now * jobsPerSecond) / 1_000);
    if (now >= nextStepAt) {
      load.recordTick(now);
      nextStepAt = now + STEP_INTERVAL_MS;
    }
    const turnStartedAt = now;
    for (; arrived < dueJobs; arrived += 1) {
      const arrivedAt = (arrived * 1_000) / jobsPerSecond;
      const isRefused = isShedding && load.isOverloaded(turnStartedAt);
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
