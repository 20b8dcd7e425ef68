import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ConfirmationPace} from '../src/holder/confirmation_pace.js';

/** Lists when a process is confirmed whose connections close all the time. */
function listConfirmations(
  pace: ConfirmationPace,
  bornAt: number,
  {from, until}: {readonly from: number; readonly until: number},
): readonly number[] {
  const times: number[] = [];
  for (let now = from; now < until; now += 25)
    if (pace.tryTake(bornAt, now)) times.push(now);
  return times;
}

test('a process whose worker closes each connection is polled less and less often', () => {
  const pace = new ConfirmationPace();
  const times = listConfirmations(pace, 1, {from: 0, until: 5_000});
  assert.deepEqual(times, [0, 100, 300, 700, 1_500, 2_500, 3_500, 4_500]);
});

test('the next process of a worker is polled at once again', () => {
  const pace = new ConfirmationPace();
  listConfirmations(pace, 1, {from: 0, until: 5_000});
  const times = listConfirmations(pace, 2, {from: 5_000, until: 5_400});
  assert.deepEqual(times, [5_000, 5_100, 5_300]);
});
