import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  StartAnswer,
  WorkerRequestFailure,
  type Dispatcher,
  type Run,
} from '../src/index.js';
import {
  createDispatcher,
  createJob,
  createReport,
  createWorker,
  formatCommands,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

const workers = [createWorker('w1'), createWorker('w2')];
/** When the start command counts as unanswered, in ms. */
const UNANSWERED_AT_MS = 300;
/** Time after the start by which its lease has expired, in ms. */
const AFTER_LEASE_MS = 1_100;
/** Time by which a late command has been executed and its lease is over. */
const AFTER_LATE_RUN_MS = UNANSWERED_AT_MS + 12_000 + AFTER_LEASE_MS;
const unresponsive = [
  [StartAnswer.Unanswered, WorkerRequestFailure.Unanswered],
  [StartAnswer.NotListening, WorkerRequestFailure.NotListening],
] as const;

/** Sends the start of a job's only task, which gets no confirmation. */
function startUnconfirmed(
  answer = StartAnswer.Unanswered,
  deadlineAt = 60_000,
): {dispatcher: Dispatcher; run: Run} {
  const dispatcher = createDispatcher(workers);
  pollAllWorkers(dispatcher, 0);
  const job = createJob('a', 1, {deadlineAt, targetMs: deadlineAt});
  dispatcher.submit(job, false, 0);
  const [start] = dispatcher.tick(0);
  assert.ok(start?.kind === 'start');
  const {run} = start;
  dispatcher.recordLease(run.workerId, 0);
  dispatcher.handleStartAnswer(run, answer, UNANSWERED_AT_MS);
  return {dispatcher, run};
}

/** Has the run's worker stay silent; returns the starts at that time. */
function listStartsAt(
  dispatcher: Dispatcher,
  {workerId}: Run,
  now: number,
  failure: WorkerRequestFailure = WorkerRequestFailure.Unanswered,
): string[] {
  dispatcher.handlePollFailure(workerId, failure, now);
  return formatCommands(dispatcher.tick(now)).filter(line =>
    line.startsWith('start'),
  );
}

test('a start that a restarted worker may execute late is not over with its lease', () => {
  for (const [answer, failure] of unresponsive) {
    const {dispatcher, run} = startUnconfirmed(answer);
    const starts = listStartsAt(dispatcher, run, AFTER_LEASE_MS, failure);
    assert.deepEqual(starts, []);
  }
});

test('the stop of an unconfirmed start is still sent after its lease', () => {
  const {dispatcher, run} = startUnconfirmed();
  const stop = `stop a.0.0.0/1 on ${run.workerId}`;
  for (const now of [400, AFTER_LEASE_MS, 5_000, 12_000]) {
    dispatcher.handlePollFailure(
      run.workerId,
      WorkerRequestFailure.Unanswered,
      now,
    );
    assert.deepEqual(formatCommands(dispatcher.tick(now)), [stop]);
  }
});

test('an answer of the same incarnation does not show that its successor will not start the task', () => {
  const {dispatcher, run} = startUnconfirmed();
  dispatcher.handleReport(run.workerId, createReport(), 310, 320);
  assert.deepEqual(listStartsAt(dispatcher, run, AFTER_LEASE_MS), []);
  const {runs} = dispatcher.workers.get(run.workerId) ?? {};
  assert.equal(runs?.size, 0);
  const [start] = listStartsAt(dispatcher, run, AFTER_LATE_RUN_MS);
  assert.match(start ?? '', /^start a\.0\.0\.0\/2 on w/);
});

test('an answer to a poll that was sent before the start was given up proves nothing', () => {
  const {dispatcher, run} = startUnconfirmed();
  dispatcher.handleReport(run.workerId, createReport(), 290, 310);
  assert.deepEqual(listStartsAt(dispatcher, run, AFTER_LEASE_MS), []);
});

test('an answer of the next incarnation does not end an unconfirmed start with its lease', () => {
  const {dispatcher, run} = startUnconfirmed();
  dispatcher.handleReport(run.workerId, createReport([], [], 2), 310, 320);
  assert.deepEqual(listStartsAt(dispatcher, run, AFTER_LEASE_MS), []);
});

test('a task whose start was never confirmed is not held back for ever', () => {
  const {dispatcher, run} = startUnconfirmed();
  assert.deepEqual(listStartsAt(dispatcher, run, 12_300), []);
  const [start] = listStartsAt(dispatcher, run, AFTER_LATE_RUN_MS);
  assert.match(start ?? '', /^start a\.0\.0\.0\/2 on w/);
});

test('a worker with an unconfirmed start is not kept for ever after it left the list', () => {
  const {dispatcher, run} = startUnconfirmed();
  const {workerId} = run;
  dispatcher.setWorkers(
    workers.filter(({id}) => id !== workerId),
    UNANSWERED_AT_MS,
  );
  listStartsAt(dispatcher, run, AFTER_LEASE_MS);
  assert.ok(dispatcher.workers.has(workerId));
  listStartsAt(dispatcher, run, AFTER_LATE_RUN_MS);
  assert.ok(!dispatcher.workers.has(workerId));
});

test('the caller of a job with an unconfirmed start is answered when the leases of its worker are over', () => {
  const {dispatcher, run} = startUnconfirmed(StartAnswer.Unanswered, 1_500);
  listStartsAt(dispatcher, run, 1_000);
  assert.deepEqual(dispatcher.takeAnswerableJobs(), []);
  listStartsAt(dispatcher, run, AFTER_LEASE_MS);
  const [answerable, ...others] = dispatcher.takeAnswerableJobs();
  assert.equal(answerable?.outcome.kind, 'abandoned');
  assert.deepEqual(others, []);
  assert.ok(dispatcher.jobs.has('a'));
  listStartsAt(dispatcher, run, 1_600);
  assert.deepEqual(dispatcher.takeAnswerableJobs(), []);
});
