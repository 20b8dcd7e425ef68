import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runCentralQueue, runOnFastest, type LoadJob} from '../src/index.js';

test('the central queue gives the fastest free slot to the first task', () => {
  const jobs = [createJob(0, [300, 300])];
  assert.deepEqual(runCentralQueue(jobs, [1, 3])[0]?.tasksMs, [100, 300]);
});

test('a task that finds no free slot waits for the first to be free', () => {
  const jobs = [createJob(0, [300, 300]), createJob(50, [30])];
  assert.deepEqual(runCentralQueue(jobs, [1, 3])[1]?.tasksMs, [60]);
});

test('the central queue starts nothing of a cancelled job', () => {
  const jobs = [createJob(0, [100]), createJob(0, [10, 10], 50)];
  const [, cancelled] = runCentralQueue(jobs, [1]);
  assert.deepEqual(cancelled?.tasksMs, [undefined, undefined]);
});

test('a slot that a cancelled job never took is free for the next', () => {
  const jobs = [
    createJob(0, [100]),
    createJob(0, [1_000], 50),
    createJob(10, [10]),
  ];
  assert.deepEqual(runCentralQueue(jobs, [1])[2]?.tasksMs, [100]);
});

test('the fastest server takes every task at once', () => {
  const jobs = [createJob(0, [300, 600])];
  assert.deepEqual(runOnFastest(jobs, [1, 3])[0]?.tasksMs, [100, 200]);
});

function createJob(
  atMs: number,
  worksMs: readonly number[],
  cancelAtMs?: number,
): LoadJob {
  return {
    key: `job-${atMs}`,
    atMs,
    entry: 0,
    team: 'team-1',
    tasks: worksMs.map(workMs => ({workMs, declaredMs: workMs})),
    copyTo: undefined,
    cancelAtMs,
  };
}
