import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  type Dispatcher,
  RunEnd,
  StartAnswer,
  WorkerRequestFailure,
  type Run,
} from '../src/index.js';
import {
  createJob,
  createPolledDispatcher,
  createReport,
  createWorker,
  formatCommands,
  listStarts,
} from './fixtures/dispatcher_setup.js';

const {Unanswered} = WorkerRequestFailure;
/** A job that outlasts a late start command. */
const longTimes = {deadlineAt: 60_000, targetMs: 60_000};

/** Starts the only task of a job; the start is sent but not answered yet. */
function start(dispatcher: Dispatcher, jobId: string, now: number): Run {
  const job = createJob(jobId, 1, {...longTimes, arrivedAt: now});
  dispatcher.submit(job, false, now);
  const [command] = dispatcher.tick(now);
  assert.ok(command?.kind === 'start');
  dispatcher.recordLease(command.run.workerId, now);
  return command.run;
}

function cancelJob(dispatcher: Dispatcher, now: number): void {
  dispatcher.cancel('a', AbandonReason.Cancelled, now);
  dispatcher.tick(now);
}

function submitAgain(dispatcher: Dispatcher, now: number): void {
  const job = createJob('a', 1, {...longTimes, arrivedAt: now});
  dispatcher.submit(job, false, now);
}

/** A run of job `b` on a restarted worker that falls silent at 1,000 ms. */
function loseRunOnRestarted(dispatcher: Dispatcher): void {
  const run = start(dispatcher, 'b', 900);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 910);
  dispatcher.handlePollFailure(run.workerId, Unanswered, 1_000);
}

const restarted = ['w1', 'w2'].map(id => createWorker(id, {bornAt: 2}));

test('a start is not repeated after a poll has reported the end of its run', () => {
  const dispatcher = createPolledDispatcher();
  const run = start(dispatcher, 'a', 0);
  dispatcher.handleUnansweredStart(run, 100);
  const end = {sequence: 1, task: run.key, run: 1, end: RunEnd.Failed};
  dispatcher.handleReport(run.workerId, createReport([], [end]), 120, 130);
  assert.ok(!dispatcher.isStartWanted(run, 140));
});

test('a late poll is remembered when its worker has left the list and comes back', () => {
  const dispatcher = createPolledDispatcher();
  for (const {id} of restarted)
    dispatcher.handlePollFailure(id, Unanswered, 100);
  dispatcher.setWorkers([], 500);
  dispatcher.tick(700);
  dispatcher.setWorkers(restarted, 800);
  for (const {id} of restarted)
    dispatcher.handleReport(id, createReport([], [], 2), 800, 810);
  loseRunOnRestarted(dispatcher);
  assert.deepEqual(listStarts(dispatcher, 3_000), []);
});

test('a poll that fails after its worker is known to have restarted may extend leases late', () => {
  const dispatcher = createPolledDispatcher();
  dispatcher.setWorkers(restarted, 400);
  for (const {id} of restarted) {
    dispatcher.handlePollFailure(id, Unanswered, 600);
    dispatcher.handleReport(id, createReport([], [], 2), 800, 810);
  }
  loseRunOnRestarted(dispatcher);
  assert.deepEqual(listStarts(dispatcher, 3_000), []);
});

test('a job that is sent again while the start of its stopped run is outstanding is not started', () => {
  const dispatcher = createPolledDispatcher();
  const run = start(dispatcher, 'a', 0);
  cancelJob(dispatcher, 1);
  dispatcher.handleStopAccepted(run, 1, 3);
  dispatcher.tick(90);
  submitAgain(dispatcher, 90);
  assert.deepEqual(listStarts(dispatcher, 90), []);
});

test('a job that is sent again runs soon if the start of its stopped run was answered after the stop', () => {
  const dispatcher = createPolledDispatcher();
  const run = start(dispatcher, 'a', 0);
  cancelJob(dispatcher, 1);
  dispatcher.handleStopAccepted(run, 1, 3);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 5);
  const stops = formatCommands(dispatcher.tick(5));
  assert.deepEqual(stops, [`stop a.0.0.0/1 on ${run.workerId}`]);
  dispatcher.handleStopAccepted(run, 5, 7);
  dispatcher.tick(90);
  submitAgain(dispatcher, 1_300);
  const [again] = listStarts(dispatcher, 1_300);
  assert.match(again ?? '', /^start a\.0\.0\.0\/2 on w/);
});

test('a stop that was sent before the start was answered does not show that the run is stopped', () => {
  const dispatcher = createPolledDispatcher();
  const run = start(dispatcher, 'a', 0);
  cancelJob(dispatcher, 1);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 2);
  dispatcher.handleStopAccepted(run, 1, 3);
  dispatcher.tick(90);
  assert.ok(dispatcher.workers.get(run.workerId)?.runs.has(run.key));
});

test('a job is not started again while the start of its run may come late after a stop', () => {
  const dispatcher = createPolledDispatcher();
  const run = start(dispatcher, 'a', 0);
  cancelJob(dispatcher, 1);
  dispatcher.handleStopAccepted(run, 1, 3);
  dispatcher.handleStartAnswer(run, StartAnswer.Unanswered, 100);
  dispatcher.tick(300);
  dispatcher.handleStopAccepted(run, 300, 301);
  dispatcher.tick(400);
  submitAgain(dispatcher, 1_300);
  assert.deepEqual(listStarts(dispatcher, 1_300), []);
  assert.deepEqual(listStarts(dispatcher, 12_000), []);
});
