import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DemandBalancer} from '../src/owner/demand_balancer.js';
import type {PoolQueue} from '../src/owner/pool_queue.js';

const BURST = 60;
const HOLDERS = new Map([
  ['near', true],
  ['far-1', false],
  ['far-2', false],
]);

function openBalancer() {
  const queue = {waiting: 0, meanRunMs: 300, oldestMs: () => 0};
  const balancer = new DemandBalancer(queue as unknown as PoolQueue, () => []);
  balancer.refresh(HOLDERS);
  const assigned = () =>
    [...HOLDERS.keys()].map(name => balancer.findHolder(name)?.assigned ?? 0);
  return {queue, balancer, assigned};
}

test('distributes a burst evenly between holders without prospects', () => {
  const {queue, balancer, assigned} = openBalancer();
  queue.waiting = BURST;
  balancer.distribute(0);
  assert.deepEqual(assigned(), [20, 20, 20]);
});

test('distributes a burst evenly between holders with stale prospects', () => {
  const {queue, balancer, assigned} = openBalancer();
  const pool = 'runner/invoicing';
  for (const name of HOLDERS.keys()) {
    const prospect = {pool, waitMs: 5_000, everyMs: 20, speed: 1};
    balancer.findHolder(name)?.updateProspect(prospect, 0);
  }
  queue.waiting = BURST;
  balancer.distribute(10_000);
  assert.deepEqual(assigned(), [20, 20, 20]);
});

test('assigns a single task to the holder in the same zone', () => {
  const {queue, balancer, assigned} = openBalancer();
  queue.waiting = 1;
  balancer.distribute(0);
  assert.deepEqual(assigned(), [1, 0, 0]);
});
