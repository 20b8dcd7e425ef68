import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runCentralQueue, runOnFastest, type LoadJob} from '../src/index.js';

test('the central queue runs the first task on the fastest free slot', () => {
  const jobs = [createJob(0, [300, 300])];
  assert.deepEqual(runCentralQueue(jobs, [1, 3])[0]?.tasksMs, [100, 300]);
});

test('a task waits for the next free slot when all are busy', () => {
  const jobs = [createJob(0, [300, 300]), createJob(50, [30])];
  assert.deepEqual(runCentralQueue(jobs, [1, 3])[1]?.tasksMs, [60]);
});

test('the central queue starts no task of a job that was cancelled in time', () => {
  const jobs = [createJob(0, [100]), createJob(0, [10, 10], 50)];
  const [, cancelled] = runCentralQueue(jobs, [1]);
  assert.deepEqual(cancelled?.tasksMs, [undefined, undefined]);
});

test('a job that was cancelled before its start takes no slot', () => {
  const jobs = [
    createJob(0, [100]),
    createJob(0, [1_000], 50),
    createJob(10, [10]),
  ];
  assert.deepEqual(runCentralQueue(jobs, [1])[2]?.tasksMs, [100]);
});

test('the fastest server runs every task without a wait', () => {
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
    copyEntry: undefined,
    cancelAtMs,
  };
}
