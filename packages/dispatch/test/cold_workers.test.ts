import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RunEnd,
  StartAnswer,
  type Dispatcher,
  type Worker,
} from '../src/index.js';
import {
  createDispatcher,
  createJob,
  createReport,
  createWorker,
  longDeadline,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

/** Tasks are declared with 200 ms. */
const SLOW_MS = 800;

function createIdleDispatcher(): Dispatcher {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  return dispatcher;
}

function list(
  dispatcher: Dispatcher,
  changes: Partial<Worker>,
  now: number,
): void {
  dispatcher.setWorkers([createWorker('w1', changes)], now);
}

/** Starts a task on the worker; returns a function that reports its end. */
function startTask(dispatcher: Dispatcher, id: string, now: number) {
  const times = {
    arrivedAt: now,
    deadlineAt: now + 5_000,
    targetMs: longDeadline.targetMs,
  };
  dispatcher.submit(createJob(id, 1, times), false, now);
  const [start] = dispatcher.tick(now);
  assert.ok(start?.kind === 'start');
  const {run} = start;
  dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
  const bornAt = dispatcher.workers.get('w1')?.info.bornAt;
  return (at: number) => {
    const end = {sequence: 1, task: run.key, run: 1, end: RunEnd.Done};
    const report = createReport([], [end], bornAt);
    dispatcher.handleReport('w1', report, at, at);
  };
}

function runSlowly(dispatcher: Dispatcher, id: string, now: number): void {
  startTask(dispatcher, id, now)(now + SLOW_MS);
}

function findSlowness(dispatcher: Dispatcher, now: number): number {
  return dispatcher.findVacancies('pricing', now)[0]?.slowness ?? NaN;
}

// Guards against a worker that gets no tasks for the speed of its former process.
test('the speed that was learned of a worker does not count once it has restarted', () => {
  const dispatcher = createIdleDispatcher();
  runSlowly(dispatcher, 'a', 0);
  assert.ok(findSlowness(dispatcher, SLOW_MS) > 1.5);
  list(dispatcher, {bornAt: 2}, 1_000);
  dispatcher.handleReport('w1', createReport([], [], 2), 1_000, 1_001);
  assert.equal(findSlowness(dispatcher, 1_001), 1);
});

// Guards against the same where a poll shows the restart before the list does.
test('the speed does not count either once a poll has shown the restart', () => {
  const dispatcher = createIdleDispatcher();
  runSlowly(dispatcher, 'a', 0);
  dispatcher.handleReport('w1', createReport([], [], 2), 1_000, 1_001);
  list(dispatcher, {bornAt: 2}, 1_010);
  assert.equal(findSlowness(dispatcher, 1_010), 1);
});

// Guards against a worker, and its kind, that seem slow after a slow begin.
test('runs while a worker is cold say nothing of its speed later', () => {
  const dispatcher = createIdleDispatcher();
  const cold = {kind: 'plain', coldUntil: 3_000};
  list(dispatcher, cold, 0);
  runSlowly(dispatcher, 'a', 0);
  assert.ok(findSlowness(dispatcher, SLOW_MS) > 1.5);
  const end = startTask(dispatcher, 'b', 2_900);
  list(dispatcher, cold, 3_010);
  assert.equal(findSlowness(dispatcher, 3_010), 1);
  end(3_700);
  assert.equal(findSlowness(dispatcher, 3_700), 1);
});
