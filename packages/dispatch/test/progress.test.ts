import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JobProgress, TaskProgressState} from '../src/index.js';
import {
  createJob,
  createLook,
  createRunning,
  createScene,
  createWorker,
  formatOrders,
  lookAtAll,
  patient,
} from './fixtures/scene.js';

/** What the holder before told of a job of two tasks. */
const told = (state: TaskProgressState): JobProgress => ({
  isComplete: true,
  tasks: [{key: 'a.0.0.0', lastRun: 3, failures: 0, state}],
});

test('a task goes on where the holder before said, also on a worker not yet listed', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 1);
  const state = {kind: 'running', run: 3, workerId: 'w2', tookMs: 50} as const;
  dispatcher.submit(createJob('a', 2, patient), true, 5, told(state));
  assert.deepEqual(formatOrders(dispatcher.tick(5)), ['start a.0.0.1/1 on w1']);
  dispatcher.setWorkers([createWorker('w1'), createWorker('w2')], 400);
  dispatcher.looked('w2', createLook([createRunning(0)]), 401, 402);
  assert.deepEqual(formatOrders(dispatcher.tick(2_000)), []);
  assert.equal(dispatcher.workers.get('w2')?.runs.get('a.0.0.0')?.run, 3);
});

test('a run on a worker that never comes back ends with its lease', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 1);
  const state = {kind: 'running', run: 3, workerId: 'w2', tookMs: 50} as const;
  dispatcher.submit(createJob('a', 1, patient), true, 5, told(state));
  assert.deepEqual(formatOrders(dispatcher.tick(1_050)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(1_060)), [
    'start a.0.0.0/4 on w1',
  ]);
});

test('a run that its worker does not show any more starts again at once', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 1);
  const state = {kind: 'running', run: 3, workerId: 'w1', tookMs: 50} as const;
  dispatcher.submit(createJob('a', 1, patient), true, 5, told(state));
  assert.deepEqual(formatOrders(dispatcher.tick(5)), []);
  dispatcher.looked('w1', createLook(), 6, 7);
  assert.deepEqual(formatOrders(dispatcher.tick(7)), ['start a.0.0.0/4 on w1']);
});

test('a worker that falls silent keeps what the holder before said until its lease is over', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createScene(workers, 0);
  dispatcher.looked('w1', createLook(), 1, 1);
  dispatcher.lookFailed('w2');
  const state = {kind: 'running', run: 3, workerId: 'w2', tookMs: 50} as const;
  dispatcher.submit(createJob('a', 1, patient), true, 5, told(state));
  assert.deepEqual(formatOrders(dispatcher.tick(1_050)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(1_060)), [
    'start a.0.0.0/4 on w1',
  ]);
});

test('a task that the holder before saw done is not run again', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 1);
  const progress = told({kind: 'done'});
  dispatcher.submit(createJob('a', 1, patient), true, 5, progress);
  const [ended] = dispatcher.takeEnded();
  assert.deepEqual(ended?.outcome, {kind: 'completed'});
});

test('a task that the holder before lent is asked for in its zone', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 1);
  const state = {kind: 'lent', run: 3, zone: 'east', tookMs: 50} as const;
  dispatcher.submit(createJob('a', 1, patient), true, 5, told(state));
  assert.deepEqual(formatOrders(dispatcher.tick(5)), [
    'lend a.0.0.0/3 to east',
  ]);
});

test('a holder that may not know all that runs of a job says so to the next', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 1);
  dispatcher.submit(createJob('a', 1, patient), true, 5);
  assert.equal(dispatcher.describeProgress('a', 10)?.isComplete, false);
  dispatcher.submit(createJob('b', 1, patient), false, 5);
  assert.equal(dispatcher.describeProgress('b', 10)?.isComplete, true);
});
