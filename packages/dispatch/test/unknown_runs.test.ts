import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RunEnd,
  StartAnswer,
  WorkerRequestFailure,
} from '../src/index.js';
import {
  options,
  createJob,
  createReport,
  createDispatcher,
  createWorker,
  formatCommands,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

const [first, second] = [createWorker('w1'), createWorker('w2')];
const running = {task: 'a.0.0.0', run: 3, percent: 40};

test('an orphaned run on a worker that leaves the list is kept until its lease expires', () => {
  const dispatcher = createDispatcher([first, second], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.handleReport('w1', createReport([running]), 2, 3);
  dispatcher.recordLease('w1', 100);
  dispatcher.setWorkers([second], 200);
  dispatcher.submit(createJob('a', 1), true, 300);
  assert.deepEqual(formatCommands(dispatcher.tick(300)), []);
});

test('a resubmitted job waits until a new holder has polled every worker', () => {
  const dispatcher = createDispatcher([first, second], 0);
  dispatcher.handleReport('w1', createReport(), 1, 2);
  dispatcher.submit(createJob('a', 1), false, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
});

test('a job that is submitted both as new and as resumed counts as resumed', () => {
  const dispatcher = createDispatcher([first, second], 0);
  dispatcher.handleReport('w1', createReport(), 1, 2);
  dispatcher.handlePollFailure('w2', WorkerRequestFailure.Unanswered, 1);
  dispatcher.submit(createJob('a', 1), false, 5);
  dispatcher.submit(createJob('a', 1), true, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
});

test('a resubmitted job does not start a task that runs here for another zone', () => {
  const dispatcher = createDispatcher([first, second]);
  pollAllWorkers(dispatcher, 0);
  const delegated = {name: {jobId: 'a', step: 0, index: 0}, run: 3};
  const task = createJob('a.0.0.0@west', 1, {delegated, delegatedBy: 'west'});
  const [start] = dispatcher.acceptDelegated(task, 0);
  assert.ok(start?.kind === 'start');
  dispatcher.handleStartAnswer(start.run, StartAnswer.Started, 1);
  dispatcher.submit(createJob('a', 1), false, 2);
  assert.deepEqual(formatCommands(dispatcher.tick(2)), [
    'stop a.0.0.0/3 on w1',
  ]);
  dispatcher.handleStopAccepted(start.run, 2, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(80)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(90)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a lease from an old reading of a slow clock lasts until it expires by that clock', () => {
  const dispatcher = createDispatcher([first]);
  const now = 50_000;
  const clockShare = 0.98;
  pollAllWorkers(dispatcher, 0);
  dispatcher.recordLease('w1', now);
  const record = dispatcher.workers.get('w1');
  const leaseUntil = (record?.estimateClock(now) ?? 0) + options.leaseMs;
  assert.ok((record?.leasesExpireAt ?? 0) >= leaseUntil / clockShare);
});

test('a task that runs on two workers is stopped on both at the same time', () => {
  const dispatcher = createDispatcher([first, second], 0);
  dispatcher.handleReport('w1', createReport([running]), 1, 2);
  dispatcher.handleReport('w2', createReport([running]), 1, 2);
  assert.deepEqual(formatCommands(dispatcher.tick(510)), [
    'stop a.0.0.0/3 on w1',
    'stop a.0.0.0/3 on w2',
  ]);
});

test('an unresponsive worker that leaves the list is kept until its lease expires', () => {
  const dispatcher = createDispatcher([first, second], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.handleReport('w1', createReport([running]), 2, 3);
  dispatcher.recordLease('w1', 100);
  dispatcher.handlePollFailure('w1', WorkerRequestFailure.Unanswered, 1);
  dispatcher.setWorkers([second], 200);
  dispatcher.tick(1_140);
  assert.ok(dispatcher.workers.has('w1'));
  dispatcher.tick(1_160);
  assert.ok(!dispatcher.workers.has('w1'));
});

test('a resubmitted job adopts its run on a worker that has left the list', () => {
  const dispatcher = createDispatcher([first, second], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.handleReport('w1', createReport([running]), 2, 3);
  dispatcher.setWorkers([second], 200);
  dispatcher.submit(createJob('a', 1), false, 300);
  assert.deepEqual(formatCommands(dispatcher.tick(300)), []);
});

test('a run that was found on an unresponsive worker counts until its lease expires', () => {
  const dispatcher = createDispatcher([first, second], 0);
  dispatcher.handleReport('w2', createReport(), 1, 2);
  dispatcher.handleReport('w1', createReport([running]), 549, 550);
  dispatcher.handlePollFailure('w1', WorkerRequestFailure.Unanswered, 1);
  dispatcher.submit(createJob('a', 1), false, 600);
  assert.deepEqual(formatCommands(dispatcher.tick(600)), []);
});

test('a zone to which a job was submitted refuses its delegated tasks', () => {
  const dispatcher = createDispatcher([first]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  dispatcher.tick(0);
  const delegated = {name: {jobId: 'a', step: 0, index: 0}, run: 3};
  const task = createJob('a.0.0.0@west', 1, {delegated, delegatedBy: 'west'});
  assert.deepEqual(dispatcher.acceptDelegated(task, 1), []);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'refused');
});

test('a delegated task that no job adopts in time is recalled', () => {
  const dispatcher = createDispatcher([first], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.delegationSurvey.expect(['east'], 0);
  const tasks = [{key: 'a.0.0.0', run: 4}];
  dispatcher.handleDelegationReport('east', {isComplete: true, tasks}, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(510)), [
    'recall a.0.0.0 from east',
  ]);
});

test('a resubmitted job still waits for unknown runs after it was cancelled', () => {
  const dispatcher = createDispatcher([first], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.submit(createJob('a', 1), true, 5);
  dispatcher.cancel('a', AbandonReason.Cancelled, 6);
  dispatcher.submit(createJob('a', 1), false, 7);
  assert.deepEqual(formatCommands(dispatcher.tick(8)), []);
});

test('a job that is submitted after its delegated task was recalled waits for its end', () => {
  const dispatcher = createDispatcher([first], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.delegationSurvey.expect(['east'], 0);
  const tasks = [{key: 'a.0.0.0', run: 4}];
  dispatcher.handleDelegationReport('east', {isComplete: true, tasks}, 5);
  dispatcher.tick(510);
  assert.deepEqual(formatCommands(dispatcher.tick(720)), [
    'recall a.0.0.0 from east',
  ]);
  dispatcher.submit(createJob('a', 1), false, 730);
  assert.deepEqual(formatCommands(dispatcher.tick(730)), [
    'delegate a.0.0.0/4 to east',
  ]);
});

test('a worker with orphaned runs gets no task, which would extend their lease', () => {
  const dispatcher = createDispatcher([first, second], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.handleReport('w1', createReport([running]), 2, 3);
  dispatcher.submit(createJob('b', 3), false, 5);
  const starts = formatCommands(dispatcher.tick(5));
  assert.deepEqual(starts, ['start b.0.0.0/1 on w2', 'start b.0.0.1/1 on w2']);
});

test('a second run of a task is adopted when the first one is lost', () => {
  const dispatcher = createDispatcher([first, second], 0);
  pollAllWorkers(dispatcher, 1);
  const state = {kind: 'running', run: 2, workerId: 'w1', tookMs: 50} as const;
  const task = {key: 'a.0.0.0', lastRun: 2, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  dispatcher.submit(createJob('a', 1), true, 5, progress);
  dispatcher.handleReport('w2', createReport([running]), 6, 7);
  dispatcher.handleReport('w1', createReport(), 8, 9);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), []);
  assert.equal(dispatcher.workers.get('w2')?.runs.get('a.0.0.0')?.number, 3);
});

test('a job that is sent again waits until other zones have told a new holder which tasks of it they run', () => {
  const dispatcher = createDispatcher([first, second], 0);
  dispatcher.delegationSurvey.expect(['east'], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.submit(createJob('a', 1), false, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  const tasks = [{key: 'a.0.0.0', run: 1}];
  dispatcher.handleDelegationReport('east', {isComplete: true, tasks}, 100);
  assert.deepEqual(formatCommands(dispatcher.tick(100)), [
    'delegate a.0.0.0/1 to east',
  ]);
});

test('a job resumed without progress waits for a worker that never answered, however long this holder has held', () => {
  const dispatcher = createDispatcher([first, second], 0);
  dispatcher.handleReport('w1', createReport(), 1, 2);
  dispatcher.handlePollFailure('w2', WorkerRequestFailure.Unanswered, 1);
  const arrivedAt = 5_000;
  const times = {arrivedAt, deadlineAt: 10_000, targetMs: 3_000};
  dispatcher.submit(createJob('a', 1, times), true, arrivedAt);
  assert.deepEqual(formatCommands(dispatcher.tick(arrivedAt)), []);
});

test('a job resumed without progress waits for a zone that never reported, however long this holder has held', () => {
  const dispatcher = createDispatcher([first], 0);
  dispatcher.delegationSurvey.expect(['east'], 0);
  pollAllWorkers(dispatcher, 1);
  const arrivedAt = 5_000;
  const times = {arrivedAt, deadlineAt: 10_000, targetMs: 3_000};
  dispatcher.submit(createJob('a', 1, times), true, arrivedAt);
  assert.deepEqual(formatCommands(dispatcher.tick(arrivedAt)), []);
});

test('the lease of a run that no job has claimed in time is not extended for another run on its worker', () => {
  const dispatcher = createDispatcher([first], 0);
  const unclaimed = {task: 'b.0.0.0', run: 1, percent: 40};
  const report = createReport([running, unclaimed]);
  dispatcher.handleReport('w1', report, 1, 2);
  dispatcher.submit(createJob('a', 1), true, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(510)), [
    'stop b.0.0.0/1 on w1',
  ]);
  assert.equal(dispatcher.chooseLease('w1', 516), undefined);
});

test('the lease of a run that has to stop is not extended for another run on its worker', () => {
  const dispatcher = createDispatcher([first]);
  pollAllWorkers(dispatcher, 0);
  for (const id of ['a', 'b']) dispatcher.submit(createJob(id, 1), false, 0);
  for (const command of dispatcher.tick(0)) {
    assert.ok(command.kind === 'start');
    dispatcher.handleStartAnswer(command.run, StartAnswer.Started, 1);
  }
  dispatcher.cancel('b', AbandonReason.OwnerLost, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), [
    'stop b.0.0.0/1 on w1',
  ]);
  assert.equal(dispatcher.chooseLease('w1', 20), undefined);
});

test('the runs of a job that is handed over past its deadline are stopped at once, and it ends with them', () => {
  const dispatcher = createDispatcher([first], 0);
  dispatcher.handleReport('w1', createReport([running]), 1, 2);
  const state = {kind: 'running', run: 3, workerId: 'w1', tookMs: 50} as const;
  const task = {key: 'a.0.0.0', lastRun: 3, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  const late = {arrivedAt: -500, deadlineAt: 0};
  dispatcher.submit(createJob('a', 2, late), true, 5, progress);
  const record = dispatcher.jobs.get('a');
  assert.equal(record?.pendingOutcome?.kind, 'abandoned');
  assert.equal(dispatcher.chooseLease('w1', 6), undefined);
  assert.deepEqual(formatCommands(dispatcher.tick(6)), [
    'stop a.0.0.0/3 on w1',
  ]);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
  const ended = {sequence: 1, task: 'a.0.0.0', run: 3, end: RunEnd.Stopped};
  dispatcher.handleReport('w1', createReport([], [ended]), 60, 70);
  const [endedJob] = dispatcher.takeEndedJobs();
  assert.equal(endedJob?.outcome.kind, 'abandoned');
});
