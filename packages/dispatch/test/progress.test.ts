import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  WorkerRequestFailure,
  type Dispatcher,
  type TaskProgressState,
} from '../src/index.js';
import {
  createJob,
  createReport,
  createRunningEntry,
  createDispatcher,
  createWorker,
  formatCommands,
  pollAllWorkers,
  longDeadline,
} from './fixtures/dispatcher_setup.js';

/** Submits job `a` again with what the previous holder reported of its first task. */
function resumeJob(
  dispatcher: Dispatcher,
  state: TaskProgressState,
  tasks = 1,
): void {
  const job = createJob('a', tasks, longDeadline);
  const task = {key: 'a.0.0.0', lastRun: 3, failures: 0, state};
  dispatcher.submit(job, true, 5, {isComplete: true, tasks: [task]});
}

/** The state of a task whose run 3 started on a worker 50 ms ago. */
function createRunningState(workerId: string): TaskProgressState {
  return {kind: 'running', run: 3, workerId, tookMs: 50};
}

test('a task goes on where the previous holder reported it, even on an unlisted worker', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  resumeJob(dispatcher, createRunningState('w2'), 2);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), [
    'start a.0.0.1/1 on w1',
  ]);
  dispatcher.setWorkers([createWorker('w1'), createWorker('w2')], 400);
  dispatcher.handleReport(
    'w2',
    createReport([createRunningEntry(0)]),
    401,
    402,
  );
  assert.deepEqual(formatCommands(dispatcher.tick(2_000)), []);
  assert.equal(dispatcher.workers.get('w2')?.runs.get('a.0.0.0')?.number, 3);
});

test('a run on a worker that never returns ends when its lease expires', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  resumeJob(dispatcher, createRunningState('w2'));
  assert.deepEqual(formatCommands(dispatcher.tick(1_050)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(1_060)), [
    'start a.0.0.0/4 on w1',
  ]);
});

test('a task whose run its worker no longer reports starts again immediately', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  resumeJob(dispatcher, createRunningState('w1'));
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  dispatcher.handleReport('w1', createReport(), 6, 7);
  assert.deepEqual(formatCommands(dispatcher.tick(7)), [
    'start a.0.0.0/4 on w1',
  ]);
});

test('a reported run on an unresponsive worker counts until its lease expires', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createDispatcher(workers, 0);
  dispatcher.handleReport('w1', createReport(), 1, 1);
  dispatcher.handlePollFailure('w2', WorkerRequestFailure.Unanswered, 1);
  resumeJob(dispatcher, createRunningState('w2'));
  assert.deepEqual(formatCommands(dispatcher.tick(1_050)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(1_060)), [
    'start a.0.0.0/4 on w1',
  ]);
});

test('a task that the previous holder reported as done does not run again', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  resumeJob(dispatcher, {kind: 'done'});
  const [ended] = dispatcher.takeEndedJobs();
  assert.deepEqual(ended?.outcome, {kind: 'completed'});
});

test('the result of a task that the previous holder delegated is requested', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  resumeJob(dispatcher, {kind: 'lent', run: 3, zone: 'east', tookMs: 50});
  assert.deepEqual(formatCommands(dispatcher.tick(5)), [
    'delegate a.0.0.0/3 to east',
  ]);
});

test('progress is incomplete while unknown runs of the job may go on', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.submit(createJob('a', 1, longDeadline), true, 5);
  assert.equal(dispatcher.describeProgress('a', 10)?.isComplete, false);
  dispatcher.submit(createJob('b', 1, longDeadline), false, 5);
  assert.equal(dispatcher.describeProgress('b', 10)?.isComplete, true);
});
