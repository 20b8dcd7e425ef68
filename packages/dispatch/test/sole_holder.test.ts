import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type Dispatcher,
  StartAnswer,
  WorkerRequestFailure,
  type Run,
} from '../src/index.js';
import {
  createJob,
  createPolledDispatcher,
  listStarts,
} from './fixtures/dispatcher_setup.js';

/** Starts the waiting task under a lease, which its worker confirms. */
function startRun(dispatcher: Dispatcher): Run {
  const [start] = dispatcher.tick(0);
  assert.ok(start?.kind === 'start');
  const {run} = start;
  dispatcher.recordLease(run.workerId, 0);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  return run;
}

test('a holder that may have been replaced does not take a run for over by its own lease before the deadline', () => {
  const dispatcher = createPolledDispatcher();
  const times = {deadlineAt: 6_000};
  dispatcher.submit(createJob('a', 1, times), false, 0);
  const run = startRun(dispatcher);
  dispatcher.soleHolder.proveUntil(900);
  const {Unanswered} = WorkerRequestFailure;
  dispatcher.handlePollFailure(run.workerId, Unanswered, 200);
  assert.deepEqual(listStarts(dispatcher, 2_000), []);
  assert.equal(dispatcher.soleHolder.isProofNeeded, true);
  dispatcher.soleHolder.proveUntil(2_600);
  assert.equal(listStarts(dispatcher, 2_500).length, 1);
});

test('a holder that may have been replaced answers a job after its deadline and a lease', () => {
  const dispatcher = createPolledDispatcher();
  dispatcher.submit(createJob('a', 1), false, 0);
  const run = startRun(dispatcher);
  dispatcher.soleHolder.proveUntil(600);
  const {Unanswered} = WorkerRequestFailure;
  dispatcher.handlePollFailure(run.workerId, Unanswered, 200);
  dispatcher.tick(2_400);
  const early = [
    ...dispatcher.takeAnswerableJobs(),
    ...dispatcher.takeEndedJobs(),
  ];
  assert.deepEqual(early, []);
  dispatcher.tick(2_600);
  assert.equal(dispatcher.takeEndedJobs().length, 1);
});

test('a holder that was frozen starts no task before it has read what arrived meanwhile', () => {
  const dispatcher = createPolledDispatcher();
  const {soleHolder} = dispatcher;
  soleHolder.recordActivity(0);
  const times = {deadlineAt: 60_000, targetMs: 60_000};
  dispatcher.submit(createJob('a', 1, times), false, 0);
  soleHolder.recordActivity(2_800);
  assert.deepEqual(listStarts(dispatcher, 2_800), []);
  soleHolder.recordActivity(2_850);
  assert.deepEqual(listStarts(dispatcher, 2_850), []);
  soleHolder.recordActivity(2_900);
  assert.equal(listStarts(dispatcher, 2_900).length, 1);
});

test('a holder whose ticks are a little late goes on starting tasks', () => {
  const dispatcher = createPolledDispatcher();
  dispatcher.soleHolder.recordActivity(0);
  dispatcher.soleHolder.recordActivity(500);
  dispatcher.submit(createJob('a', 1, {deadlineAt: 9_000}), false, 500);
  assert.equal(listStarts(dispatcher, 500).length, 1);
});

test('a holder that was frozen starts no delegated task if that is the first thing it reads', () => {
  const dispatcher = createPolledDispatcher();
  dispatcher.soleHolder.recordActivity(0);
  const name = {jobId: 'b', occurrence: 0, step: 0, index: 0};
  const job = {
    ...createJob('b', 1, {deadlineAt: 60_000, targetMs: 60_000}),
    id: 'b.0.0.0@east',
    delegatedBy: 'east',
    delegated: {name, run: 1},
  };
  assert.deepEqual(dispatcher.acceptDelegated(job, 2_800), []);
});

test('a holder that is stopping answers a job after its deadline and a lease, though nobody follows it', () => {
  const dispatcher = createPolledDispatcher();
  dispatcher.submit(createJob('a', 1), false, 0);
  const run = startRun(dispatcher);
  dispatcher.soleHolder.markLeaving();
  const {Unanswered} = WorkerRequestFailure;
  dispatcher.handlePollFailure(run.workerId, Unanswered, 200);
  dispatcher.tick(2_400);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
  dispatcher.tick(2_700);
  assert.equal(dispatcher.takeEndedJobs().length, 1);
});
