import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeBudget, MemoryBudget} from '../src/memory_budget.js';
import {RequestMemory} from '../src/request_memory.js';
import {computeMaxConnections} from '../src/client_connections.js';

const MB = 1_024 * 1_024;
const SMALLEST_MACHINE_MB = 210;
const small = {
  rawHeaders: ['host', 'shop.example', 'content-length', '200'],
  url: '/quotes/0123456789abcdef',
};

// Guards against a budget beyond what the machine or the heap has.
test('the budget follows the memory of the machine, within limits', () => {
  const budgets = [100, SMALLEST_MACHINE_MB, 350].map(computeBudget);
  assert.deepEqual(budgets, [8 * MB, 32 * MB, 48 * MB]);
});

// Guards against a budget that ordinary callers reach: 2,000 connections with
// a submission each.
test('2,000 small submissions fit on the smallest machine', () => {
  const budget = new MemoryBudget(computeBudget(SMALLEST_MACHINE_MB));
  for (let index = 0; index < 2_000; index += 1) {
    assert.ok(budget.openAccount().trySet(6 * 1_024));
    const memory = new RequestMemory(budget.openAccount(), small);
    const isReserved = memory.reserveBody(1_024) && memory.reserveJob(200);
    assert.ok(memory.isAvailable && isReserved, `submission ${index}`);
  }
});

// Guards against bodies that fill the memory of an instance.
test('the largest bodies leave memory for other requests, and give it back', () => {
  const budget = new MemoryBudget(computeBudget(SMALLEST_MACHINE_MB));
  const open = () => new RequestMemory(budget.openAccount(), small);
  const held: RequestMemory[] = [];
  let memory = open();
  while (memory.reserveBody(262_144)) {
    held.push(memory);
    memory = open();
  }
  assert.equal(held.length, 93);
  memory.close();
  assert.ok(open().reserveBody(1_024));
  held[0]?.close();
  assert.ok(open().reserveBody(200_000));
});

// Guards against memory that is counted twice, or returned twice.
test('a closed account takes nothing, and returns its memory once', () => {
  const budget = new MemoryBudget(100);
  const [first, second] = [budget.openAccount(), budget.openAccount()];
  assert.ok(first.tryTake(60) && !second.tryTake(50));
  first.close();
  first.close();
  assert.deepEqual([first.tryTake(1), second.tryTake(100)], [false, true]);
  assert.ok(!budget.openAccount().tryTake(1));
});

// Guards against connections that leave no descriptors to the process.
test('connections leave descriptors for files and for the process itself', () => {
  const limits = [computeMaxConnections(2_212, 0)];
  limits.push(computeMaxConnections(2_212, 500), computeMaxConnections(210, 0));
  limits.push(computeMaxConnections(undefined, 500));
  assert.deepEqual(limits, [1_948, 1_512, 16, Infinity]);
});

// Guards against requests that are refused while others hold what they don't use.
test('the largest account that can be reclaimed gives way to small requests', () => {
  const budget = new MemoryBudget(100_000);
  const reclaimed: string[] = [];
  const open = (name: string, bytes: number) => {
    const account = budget.openAccount(() => reclaimed.push(name));
    assert.ok(account.trySet(bytes));
    return account;
  };
  open('small', 8_000);
  open('large', 60_000);
  const medium = open('medium', 30_000);
  assert.ok(budget.openAccount().tryTake(5_000));
  assert.deepEqual(reclaimed, ['large']);
  // None is larger than what this one wants.
  assert.ok(!medium.trySet(95_000));
  assert.ok(!budget.openAccount().tryTake(70_000));
  assert.ok(!budget.openAccount().tryTake(60_000, 0.5));
  assert.deepEqual(reclaimed, ['large']);
});
