import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RunEnd, StartAnswer, type Dispatcher, type Run} from '../src/index.js';
import {WorkerRecord} from '../src/workers/index.js';
import {
  createJob,
  createReport,
  createDispatcher,
  createWorker,
  formatCommands,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

const workers = [createWorker('w1'), createWorker('w2')];

/** Creates two workers and sends the start of a job's only task to one. */
function startOne(): {dispatcher: Dispatcher; run: Run} {
  const dispatcher = createDispatcher(workers);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const [start] = dispatcher.tick(0);
  assert.ok(start?.kind === 'start');
  return {dispatcher, run: start.run};
}

/** Ticks the dispatcher and formats the start commands. */
function formatStartsAt(dispatcher: Dispatcher, now: number): string[] {
  return formatCommands(dispatcher.tick(now)).filter(line =>
    line.startsWith('start'),
  );
}

test('a run is not lost when its worker is listed with a new incarnation', () => {
  const {dispatcher, run} = startOne();
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 2);
  const listed = workers.map(worker =>
    worker.id === run.workerId ? {...worker, bornAt: 2} : worker,
  );
  dispatcher.setWorkers(listed, 10);
  assert.deepEqual(formatStartsAt(dispatcher, 10), []);
});

test('a run whose start is in flight is not lost when a new incarnation reports', () => {
  const {dispatcher, run} = startOne();
  dispatcher.handleReport(run.workerId, createReport([], [], 2), 1, 2);
  assert.deepEqual(formatStartsAt(dispatcher, 2), []);
});

test('a run whose start was unanswered is not started again after the worker restarts', () => {
  const {dispatcher, run} = startOne();
  dispatcher.handleStartAnswer(run, StartAnswer.Unanswered, 300);
  dispatcher.tick(300);
  dispatcher.handleReport(run.workerId, createReport([], [], 2), 400, 401);
  assert.deepEqual(formatStartsAt(dispatcher, 401), []);
});

test('a late report from the old incarnation does not count as a poll of the new one', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.setWorkers([createWorker('w1', {bornAt: 2})], 5);
  dispatcher.handleReport('w1', createReport(), 4, 6);
  dispatcher.submit(createJob('a', 1), false, 6);
  assert.deepEqual(formatStartsAt(dispatcher, 6), []);
});

test('a late report from the old incarnation still ends its runs', () => {
  const {dispatcher, run} = startOne();
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 2);
  const listed = workers.map(worker => ({...worker, bornAt: 2}));
  dispatcher.setWorkers(listed, 5);
  const end = {sequence: 1, task: run.key, run: run.number, end: RunEnd.Done};
  dispatcher.handleReport(run.workerId, createReport([], [end]), 4, 6);
  dispatcher.tick(6);
  assert.equal(dispatcher.jobs.size, 0);
  assert.equal(dispatcher.workers.get(run.workerId)?.lastAckedEnd, 0);
});

test('a report is accepted even if the start time of the worker goes back', () => {
  const dispatcher = createDispatcher([createWorker('w1', {bornAt: 2})]);
  dispatcher.handleReport('w1', createReport(), 4, 6);
  dispatcher.setWorkers([createWorker('w1', {bornAt: 1})], 6);
  dispatcher.submit(createJob('a', 1), false, 6);
  assert.deepEqual(formatStartsAt(dispatcher, 6), ['start a.0.0.0/1 on w1']);
});

test('the process of a worker is known while a poll waits that followed an answer at once', () => {
  const record = new WorkerRecord(createWorker('w1'));
  assert.equal(record.isProcessKnown(0), false);
  record.recordAnswer(900, 1_000);
  assert.equal(record.isProcessKnown(1_100), true);
  assert.equal(record.isProcessKnown(1_400), false);
  record.pendingPollSentAt = 1_050;
  assert.equal(record.isProcessKnown(1_400), true);
  record.pendingPollSentAt = 1_350;
  assert.equal(record.isProcessKnown(1_400), false);
});
