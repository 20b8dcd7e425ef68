import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoopLoad} from '../src/holder/loop_load.js';

const EVERY_MS = 25;

/** Steps that come after these pauses; tells whether each finds it swamped. */
function play(pauses: readonly number[]): boolean[] {
  const load = new LoopLoad(EVERY_MS);
  let now = 0;
  load.note(now);
  return pauses.map(pause => {
    now += pause;
    load.note(now);
    return load.isSwamped(now);
  });
}

test('a process is swamped once no step came in time for a while', () => {
  assert.deepEqual(play([60, 60, 60, 60]), [false, true, true, true]);
});

test('one step in time and the process takes jobs again', () => {
  assert.deepEqual(play([60, 60, 60, 30]), [false, true, true, false]);
});

test('a process that was swamped is strained for a second', () => {
  const load = new LoopLoad(EVERY_MS);
  for (const now of [0, 60, 120, 180]) load.note(now);
  assert.equal(load.isStrained(1_100), true);
  assert.equal(load.isStrained(1_200), false);
});

test('pauses of a processor of which a share is granted swamp nobody', () => {
  assert.deepEqual(play([80, 25, 80, 25, 80, 25]).includes(true), false);
});

/** Processor time for a job that is served, and for one that is refused, in ms. */
const SERVED_MS = 6;
const REFUSED_MS = 0.4;
/** When an answer comes too late to be of use, in ms. */
const USEFUL_MS = 400;
const PLAYED_MS = 10_000;

/** Share of the jobs that one process serves in time, each turn in one go. */
function serve(jobsPerSecond: number, sheds: boolean): number {
  const load = new LoopLoad(EVERY_MS);
  let now = 0;
  let stepAt = 0;
  let arrived = 0;
  let inTime = 0;
  while (now < PLAYED_MS) {
    const due = Math.floor((now * jobsPerSecond) / 1_000);
    if (now >= stepAt) {
      load.note(now);
      stepAt = now + EVERY_MS;
    }
    const begunAt = now;
    for (; arrived < due; arrived += 1) {
      const arrivedAt = (arrived * 1_000) / jobsPerSecond;
      const isRefused = sheds && load.isSwamped(begunAt);
      now += isRefused ? REFUSED_MS : SERVED_MS;
      if (!isRefused && now - arrivedAt <= USEFUL_MS) inTime += 1;
    }
    now += 1;
  }
  return inTime / arrived;
}

test('under half again as many jobs as it can serve a holder serves half and more in time', () => {
  assert.ok(serve(250, false) < 0.1);
  assert.ok(serve(250, true) > 0.5);
});
