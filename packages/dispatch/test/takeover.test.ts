import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Dispatcher,
  RunEnd,
  StartAnswer,
  WorkerRequestFailure,
} from '../src/index.js';
import {
  options,
  createDelegatedTask,
  createJob,
  createReport,
  createRunningEntry,
  createDispatcher,
  createWorker,
  formatCommands,
  pollAllWorkers,
  longDeadline,
  noopObserver,
} from './fixtures/dispatcher_setup.js';

/** Reports that zone `east` can take tasks of 64 processors together. */
function reportVacancyInEast(
  dispatcher: Dispatcher,
  slowness: number,
  now: number,
): void {
  const vacancies = [{slowness, cpuMillis: 64_000, memoryMb: 1_000}];
  const reported = {zone: 'east', service: 'pricing', vacancies};
  dispatcher.updateZoneVacancies(reported, now);
}

test('a new holder adopts the runs of a job that its owner submits again', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.handleReport('w1', createReport([createRunningEntry(0)]), 1, 2);
  dispatcher.submit(createJob('a', 2, longDeadline), true, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  assert.deepEqual(
    [...(dispatcher.workers.get('w1')?.runs.keys() ?? [])],
    ['a.0.0.0'],
  );
  assert.deepEqual(formatCommands(dispatcher.tick(1_640)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(1_660)), [
    'start a.0.0.1/1 on w1',
  ]);
});

test('a job that its client resubmits adopts its runs', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.handleReport('w1', createReport([createRunningEntry(0)]), 1, 2);
  dispatcher.submit(createJob('a', 1), false, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  assert.equal(dispatcher.workers.get('w1')?.runs.get('a.0.0.0')?.number, 3);
});

test('a run whose owner never submits the job again is stopped', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.handleReport('w1', createReport([createRunningEntry(0)]), 1, 2);
  assert.deepEqual(formatCommands(dispatcher.tick(400)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(510)), [
    'stop a.0.0.0/3 on w1',
  ]);
});

test('a resumed job waits while an unresponsive worker may still run its tasks', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createDispatcher(workers, 0);
  dispatcher.handleReport('w1', createReport(), 1, 2);
  dispatcher.handlePollFailure('w2', WorkerRequestFailure.Unanswered, 1);
  dispatcher.submit(createJob('a', 1, longDeadline), true, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(1_640)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(1_660)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a resumed job waits until other zones have reported its delegated tasks', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.delegationSurvey.expect(['east'], 0);
  pollAllWorkers(dispatcher, 2);
  dispatcher.submit(createJob('a', 2, longDeadline), true, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(1_700)), []);
  const tasks = [{key: 'a.0.0.1', run: 4}];
  dispatcher.handleDelegationReport('east', {isComplete: true, tasks}, 1_708);
  assert.deepEqual(formatCommands(dispatcher.tick(1_708)), [
    'delegate a.0.0.1/4 to east',
    'start a.0.0.0/1 on w1',
  ]);
});

test('a task is delegated when another zone has capacity and this one has none', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  reportVacancyInEast(dispatcher, 1, 0);
  dispatcher.submit(createJob('a', 4), false, 0);
  const commands = dispatcher.tick(0);
  assert.deepEqual(formatCommands(commands), [
    'start a.0.0.0/1 on w1',
    'start a.0.0.1/1 on w1',
    'delegate a.0.0.2/1 to east',
    'delegate a.0.0.3/1 to east',
  ]);
  const [, , delegated] = commands;
  assert.ok(delegated?.kind === 'lend');
  dispatcher.handleDelegatedEnd(delegated.run, 'refused', 3);
  assert.deepEqual(formatCommands(dispatcher.tick(3)), []);
});

test('a task delegated to a lost holder starts again when no late start of it can follow', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  const long = {targetMs: 20_000, deadlineAt: 20_000};
  dispatcher.submit(createJob('b', 2, long), false, 0);
  for (const command of dispatcher.tick(0)) {
    if (command.kind !== 'start') continue;
    dispatcher.handleStartAnswer(command.run, StartAnswer.Started, 1);
  }
  reportVacancyInEast(dispatcher, 0.2, 0);
  dispatcher.submit(createJob('a', 1, {deadlineAt: 20_000}), false, 0);
  const [delegated] = dispatcher.tick(0);
  assert.ok(delegated?.kind === 'lend');
  dispatcher.handleDelegateLost(delegated.run, 100);
  const done = [0, 1].map(index => ({
    sequence: index + 1,
    task: `b.0.0.${index}`,
    run: 1,
    end: RunEnd.Done,
  }));
  dispatcher.handleReport('w1', createReport([], done), 200, 200);
  assert.deepEqual(formatCommands(dispatcher.tick(2_110)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(15_100)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(15_200)), [
    'start a.0.0.0/2 on w1',
  ]);
});

test('a new holder resumes a task that was delegated to its predecessor', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.handleReport('w1', createReport([createRunningEntry(0)]), 1, 2);
  dispatcher.resumeDelegated(createDelegatedTask('a'), 5);
  assert.deepEqual(formatCommands(dispatcher.tick(600)), []);
  const end = {sequence: 1, task: 'a.0.0.0', run: 3, end: RunEnd.Done};
  dispatcher.handleReport('w1', createReport([], [end]), 700, 701);
  const [ended] = dispatcher.takeEndedJobs();
  assert.deepEqual(ended?.outcome, {kind: 'completed'});
});

test('a delegated task that is not found is reported as lost', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.resumeDelegated(createDelegatedTask('a', longDeadline), 5);
  dispatcher.tick(1_660);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'abandoned');
});

test('a zone that does not answer delays new jobs by 400 ms and resumed jobs by 2 s', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.delegationSurvey.expect(['east'], 0);
  pollAllWorkers(dispatcher, 2);
  dispatcher.submit(createJob('a', 1, longDeadline), true, 5);
  dispatcher.submit(createJob('b', 1, longDeadline), false, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(379)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(400)), [
    'start b.0.0.0/1 on w1',
  ]);
  assert.deepEqual(formatCommands(dispatcher.tick(1_900)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(2_010)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a new holder places and refuses nothing before the worker list is confirmed', () => {
  const dispatcher = new Dispatcher(
    {leaseMs: 1_000, stopMs: 50},
    0,
    noopObserver,
  );
  dispatcher.submit(createJob('a', 1), false, 1);
  dispatcher.setWorkers([createWorker('w1')], 2);
  pollAllWorkers(dispatcher, 3);
  assert.deepEqual(formatCommands(dispatcher.tick(4)), []);
  dispatcher.confirmWorkerList();
  assert.deepEqual(formatCommands(dispatcher.tick(5)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a resumed job is not delegated while no worker of the zone is known', () => {
  const dispatcher = createDispatcher([], 0);
  reportVacancyInEast(dispatcher, 1, 10);
  dispatcher.submit(createJob('a', 1, longDeadline), true, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(20)), []);
});

test('a resumed job waits for runs on workers that are missing from the list', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 2);
  dispatcher.submit(createJob('a', 1, longDeadline), true, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(1_000)), []);
  dispatcher.setWorkers([createWorker('w1'), createWorker('w2')], 1_001);
  dispatcher.handleReport(
    'w2',
    createReport([createRunningEntry(0)]),
    1_002,
    1_003,
  );
  assert.deepEqual(formatCommands(dispatcher.tick(3_000)), []);
  assert.equal(dispatcher.workers.get('w2')?.runs.get('a.0.0.0')?.number, 3);
});

test('a delegated task may go on until the leases of the previous holder expire', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.resumeDelegated(createDelegatedTask('a', longDeadline), 5);
  dispatcher.tick(1_000);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
  dispatcher.tick(2_000);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'abandoned');
});

test('a zone that has a new holder may report its delegated tasks later', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.delegationSurvey.expect(['east'], 0);
  pollAllWorkers(dispatcher, 2);
  dispatcher.submit(createJob('a', 1, longDeadline), true, 5);
  dispatcher.handleDelegationReport('east', {isComplete: false, tasks: []}, 8);
  assert.deepEqual(formatCommands(dispatcher.tick(1_700)), []);
  const tasks = [{key: 'a.0.0.0', run: 4}];
  dispatcher.handleDelegationReport('east', {isComplete: true, tasks}, 1_705);
  assert.deepEqual(formatCommands(dispatcher.tick(1_705)), [
    'delegate a.0.0.0/4 to east',
  ]);
});

test('a holder that was partitioned waits from the first answer of a worker on', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  const longer = {targetMs: 10_000, deadlineAt: 20_000};
  dispatcher.submit(createJob('a', 1, longer), true, 4_000);
  dispatcher.handleReport('w1', createReport(), 5_000, 5_001);
  assert.deepEqual(formatCommands(dispatcher.tick(6_640)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(6_660)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('the lease of an orphaned run expires soon after jobs can no longer adopt it', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.handleReport('w1', createReport([createRunningEntry(0)]), 1, 2);
  assert.equal(dispatcher.chooseLease('w1', 100), 500);
  assert.equal(dispatcher.chooseLease('w1', 600), undefined);
  dispatcher.submit(createJob('a', 1), true, 110);
  assert.equal(dispatcher.chooseLease('w1', 120), options.leaseMs);
});

test('owners have time to submit to a holder that follows a short-lived one before it stops their runs', () => {
  const successorOptions = {...options, unclaimedSince: 0};
  const dispatcher = new Dispatcher(successorOptions, 800, noopObserver);
  dispatcher.setWorkers([createWorker('w1')], 800);
  dispatcher.confirmWorkerList();
  const report = createReport([createRunningEntry(0)]);
  dispatcher.handleReport('w1', report, 801, 802);
  assert.equal(dispatcher.chooseLease('w1', 803), undefined);
  assert.deepEqual(formatCommands(dispatcher.tick(900)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(1_010)), [
    'stop a.0.0.0/3 on w1',
  ]);
  dispatcher.submit(createJob('a', 1, longDeadline), true, 1_020);
  assert.equal(dispatcher.chooseLease('w1', 1_030), options.leaseMs);
});
