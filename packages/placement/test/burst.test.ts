import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PoolDesk} from '../src/owner/pool_desk.js';
import type {PoolQueue} from '../src/owner/pool_queue.js';

const BURST = 60;
const HOLDERS = new Map([
  ['near', true],
  ['far-1', false],
  ['far-2', false],
]);

function openDesk() {
  const queue = {waiting: 0, meanRunMs: 300, oldestMs: () => 0};
  const desk = new PoolDesk(queue as unknown as PoolQueue, () => []);
  desk.refresh(HOLDERS);
  const wanted = () =>
    [...HOLDERS.keys()].map(name => desk.deskOf(name)?.wanted ?? 0);
  return {queue, desk, wanted};
}

test('a burst is shared out between holders of which nothing was heard', () => {
  const {queue, desk, wanted} = openDesk();
  queue.waiting = BURST;
  desk.share(0);
  assert.deepEqual(wanted(), [20, 20, 20]);
});

test('a burst is shared out between holders whose last word is old', () => {
  const {queue, desk, wanted} = openDesk();
  const pool = 'runner/invoicing';
  for (const name of HOLDERS.keys()) {
    const word = {pool, waitMs: 5_000, everyMs: 20, speed: 1};
    desk.deskOf(name)?.hear(word, 0);
  }
  queue.waiting = BURST;
  desk.share(10_000);
  assert.deepEqual(wanted(), [20, 20, 20]);
});

test('a single task still goes to the holder nearby', () => {
  const {queue, desk, wanted} = openDesk();
  queue.waiting = 1;
  desk.share(0);
  assert.deepEqual(wanted(), [1, 0, 0]);
});
