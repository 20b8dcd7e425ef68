import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Dispatcher,
  RunEnd,
  StartAnswer,
  TaskHistory,
  WorkerRequestFailure,
  type Job,
  type StartCommand,
} from '../src/index.js';
import {
  createDispatcher,
  createJob,
  createReport,
  createWorker,
  formatCommands,
  noopObserver,
  options,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

/** Time after a start by which its lease has certainly expired, in ms. */
const AFTER_LEASE_MS = 1_100;
/** Times of a job that outlast several leases. */
const veryLongDeadline = {targetMs: 20_000, deadlineAt: 60_000};

function createIdleDispatcher(workerCount: number): Dispatcher {
  const dispatcher = createDispatcher(
    Array.from({length: workerCount}, (_, index) => createWorker(`w${index}`)),
  );
  pollAllWorkers(dispatcher, 0);
  return dispatcher;
}

/** Starts the tasks of the jobs side by side on `w0`; then others join it. */
function createSharedWorker(
  jobs: readonly Job[],
  otherWorkers: readonly string[],
): Dispatcher {
  const dispatcher = createIdleDispatcher(1);
  for (const job of jobs) dispatcher.submit(job, false, 0);
  assert.equal(startDue(dispatcher, 0).length, 2);
  const ids = ['w0', ...otherWorkers];
  dispatcher.setWorkers(
    ids.map(id => createWorker(id)),
    0,
  );
  for (const id of otherWorkers)
    dispatcher.handleReport(id, createReport(), 0, 0);
  return dispatcher;
}

function createLongJob(
  id: string,
  tasks: number,
  changes: Partial<Job> = {},
): Job {
  return createJob(id, tasks, {...veryLongDeadline, ...changes});
}

/** Executes the due start commands, which all workers confirm. */
function startDue(dispatcher: Dispatcher, now: number): StartCommand[] {
  const starts = dispatcher
    .tick(now)
    .filter((command): command is StartCommand => command.kind === 'start');
  for (const {run} of starts) {
    dispatcher.recordLease(run.workerId, now);
    dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
  }
  return starts;
}

/** Has a worker refuse connections from `now` on until its leases expire. */
function crash(dispatcher: Dispatcher, workerId: string, now: number): number {
  const failure = WorkerRequestFailure.NotListening;
  dispatcher.handlePollFailure(workerId, failure, now);
  return now + AFTER_LEASE_MS;
}

/** Has a worker report the end of a run. */
function reportEnd(
  dispatcher: Dispatcher,
  {run}: StartCommand,
  now: number,
): void {
  const {key: task, number, workerId} = run;
  const end = {sequence: 1, task, run: number, end: RunEnd.Done};
  dispatcher.handleReport(workerId, createReport([], [end]), now, now);
}

test('a task under which two workers have crashed is not started a third time', () => {
  const dispatcher = createIdleDispatcher(6);
  dispatcher.submit(createLongJob('a', 1), false, 0);
  let now = 0;
  let startCount = 0;
  for (let life = 0; life < 5; life += 1) {
    for (const {run} of startDue(dispatcher, now)) {
      startCount += 1;
      now = crash(dispatcher, run.workerId, now);
    }
  }
  assert.equal(startCount, 2);
  assert.deepEqual(dispatcher.takeEndedJobs(), [
    {id: 'a', queue: 'quotes', outcome: {kind: 'failed'}, hasStarted: true},
  ]);
});

test('a job submitted again fails at once when two workers have crashed under a task of it', () => {
  const dispatcher = createIdleDispatcher(6);
  let now = 0;
  for (const deadlineAt of [1_050, 2_150]) {
    dispatcher.submit(createLongJob('a', 1, {deadlineAt}), false, now);
    const [start] = startDue(dispatcher, now);
    assert.ok(start !== undefined);
    now = crash(dispatcher, start.run.workerId, now);
    dispatcher.tick(now);
  }
  dispatcher.takeEndedJobs();
  dispatcher.submit(createLongJob('a', 1), false, now);
  assert.deepEqual(formatCommands(dispatcher.tick(now)), []);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'failed');
});

test('tasks whose worker crashed run alone on their next workers', () => {
  const jobs = [createLongJob('a', 2)];
  const dispatcher = createSharedWorker(jobs, ['w1', 'w2']);
  const now = crash(dispatcher, 'w0', 0);
  const retries = startDue(dispatcher, now);
  assert.deepEqual(
    retries.map(({run}) => run.workerId),
    ['w1', 'w2'],
  );
  dispatcher.submit(createLongJob('b', 2), false, now);
  assert.deepEqual(formatCommands(dispatcher.tick(now)), []);
});

test('a task that ran beside one that crashes workers completes', () => {
  const jobs = [createLongJob('crashing', 1), createLongJob('harmless', 1)];
  const dispatcher = createSharedWorker(jobs, ['w1', 'w2']);
  const restartedAt = crash(dispatcher, 'w0', 0);
  for (const start of startDue(dispatcher, restartedAt)) {
    const {recordId, workerId} = start.run;
    if (recordId === 'harmless') reportEnd(dispatcher, start, restartedAt);
    else crash(dispatcher, workerId, restartedAt);
  }
  const now = restartedAt + AFTER_LEASE_MS;
  assert.deepEqual(formatCommands(dispatcher.tick(now)), []);
  const outcomes = dispatcher
    .takeEndedJobs()
    .map(({id, outcome}) => `${id} ${outcome.kind}`);
  assert.deepEqual(outcomes, ['harmless completed', 'crashing failed']);
});

test('a worker is kept free for a task that must run alone', () => {
  const dispatcher = createIdleDispatcher(1);
  dispatcher.submit(createLongJob('a', 1), false, 0);
  assert.equal(startDue(dispatcher, 0).length, 1);
  const workers = ['w0', 'w1'].map(id => createWorker(id));
  dispatcher.setWorkers(workers, 0);
  dispatcher.handleReport('w1', createReport(), 0, 0);
  const now = crash(dispatcher, 'w0', 0);
  dispatcher.submit(createLongJob('b', 1), false, 900);
  const [beside] = startDue(dispatcher, 900);
  assert.equal(beside?.run.workerId, 'w1');
  dispatcher.submit(createLongJob('c', 1), false, now);
  assert.deepEqual(formatCommands(dispatcher.tick(now)), []);
  reportEnd(dispatcher, beside, now + 1);
  const next = startDue(dispatcher, now + 1);
  assert.deepEqual(
    next.map(({run}) => run.recordId),
    ['a'],
  );
});

test('a task whose worker crashed is not started again after its job has become useless', () => {
  const dispatcher = createIdleDispatcher(3);
  // Three times its objective of 380 ms have passed before its lease expires.
  dispatcher.submit(createJob('a', 1, {deadlineAt: 5_000}), false, 0);
  const [start] = startDue(dispatcher, 0);
  assert.ok(start !== undefined);
  const now = crash(dispatcher, start.run.workerId, 0) + 100;
  assert.deepEqual(formatCommands(dispatcher.tick(now)), []);
  const [ended] = dispatcher.takeEndedJobs();
  assert.deepEqual(ended?.outcome, {
    kind: 'abandoned',
    reason: 'worker_crashed',
  });
});

test('a job submitted again without time for its suspected task is not called refused', () => {
  const dispatcher = createIdleDispatcher(3);
  dispatcher.submit(createJob('a', 1, {deadlineAt: 1_050}), false, 0);
  const [start] = startDue(dispatcher, 0);
  assert.ok(start !== undefined);
  const now = crash(dispatcher, start.run.workerId, 0);
  dispatcher.tick(now);
  dispatcher.takeEndedJobs();
  const deadlineAt = now + 100;
  dispatcher.submit(createJob('a', 1, {deadlineAt}), false, now);
  assert.deepEqual(formatCommands(dispatcher.tick(now)), []);
  const [ended] = dispatcher.takeEndedJobs();
  assert.deepEqual(ended?.outcome, {
    kind: 'abandoned',
    reason: 'worker_crashed',
  });
});

/** Creates a new holder that was told of crashes of `w0` and `w1` at 10. */
function createInformedHolder(): Dispatcher {
  const history = new TaskHistory();
  const crashes = ['w0', 'w1'].map(workerId => {
    const crash = {task: 'a.0.0.0', workerId, workerBornAt: 1};
    return {...crash, isShared: false, ageMs: 0};
  });
  history.merge({crashes}, 10);
  const dispatcher = new Dispatcher(options, -10_000, noopObserver, history);
  dispatcher.setWorkers([createWorker('w0'), createWorker('w1')], 20);
  dispatcher.confirmWorkerList();
  dispatcher.submit(createLongJob('a', 1), false, 20);
  return dispatcher;
}

test('a new holder does not fail a job for crashes of workers that answer it as the same processes', () => {
  const dispatcher = createInformedHolder();
  assert.equal(startDue(dispatcher, 20).length, 0);
  for (const id of ['w0', 'w1'])
    dispatcher.handleReport(id, createReport(), 20, 25);
  assert.equal(startDue(dispatcher, 30).length, 1);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
});

test('a new holder fails a job for crashes of workers that answer it as other processes', () => {
  const dispatcher = createInformedHolder();
  for (const id of ['w0', 'w1'])
    dispatcher.handleReport(id, createReport([], [], 2), 20, 25);
  assert.equal(startDue(dispatcher, 30).length, 0);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'failed');
});

test('a new holder fails a job for crashes of workers that refuse its polls', () => {
  const dispatcher = createInformedHolder();
  const failure = WorkerRequestFailure.NotListening;
  for (const id of ['w0', 'w1']) dispatcher.handlePollFailure(id, failure, 25);
  dispatcher.tick(30);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'failed');
});

test('an answer to a poll that was sent before a crash does not take the crash back', () => {
  const dispatcher = createInformedHolder();
  for (const id of ['w0', 'w1'])
    dispatcher.handleReport(id, createReport(), 5, 25);
  dispatcher.tick(30);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'failed');
});

test('tasks on a worker that was only silent are started again side by side', () => {
  const dispatcher = createSharedWorker([createLongJob('a', 2)], ['w1']);
  dispatcher.handlePollFailure('w0', WorkerRequestFailure.Unanswered, 1);
  assert.deepEqual(formatCommands(dispatcher.tick(AFTER_LEASE_MS)), [
    'start a.0.0.0/2 on w1',
    'start a.0.0.1/2 on w1',
  ]);
});
