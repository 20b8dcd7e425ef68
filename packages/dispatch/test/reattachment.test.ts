import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  TaskHistory,
  Dispatcher,
  type Job,
  type JobProgress,
  type TaskProgressState,
} from '../src/index.js';
import {
  options,
  createDelegatedTask,
  createDispatcher,
  createJob,
  createReport,
  createRunningEntry,
  createWorker,
  formatCommands,
  longDeadline,
  noopObserver,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

/** A time at which all runs from before the holder's start have ended. */
const LATER = 21_000;
const lost = {kind: 'abandoned', reason: 'run_lost'};

/** Creates the task of job `a` in zone `east`, delegated as run 3. */
function createDelegated(index: number, now: number): Job {
  const {targetMs, deadlineAt} = longDeadline;
  const times = {arrivedAt: now, targetMs, deadlineAt: now + deadlineAt};
  return createDelegatedTask('a', times, {index});
}

/** Creates the report of a holder that knows all runs of the task. */
function createProgress(state: TaskProgressState): JobProgress {
  const task = {key: 'a.0.0.0', lastRun: 2, failures: 0, state};
  return {isComplete: true, tasks: [task]};
}

function takeOutcomes(dispatcher: Dispatcher) {
  return dispatcher.takeEndedJobs().map(({outcome}) => outcome);
}

test('a reattachment to a task that has ended does not start it again', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.resumeDelegated(createDelegated(0, LATER), LATER);
  for (let now = LATER; now < LATER + 1_000; now += 25)
    assert.deepEqual(formatCommands(dispatcher.tick(now)), []);
  assert.deepEqual(takeOutcomes(dispatcher), [lost]);
});

test('a task that another zone delegates does not start one that was only reattached', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.resumeDelegated(createDelegated(0, LATER), LATER);
  const commands = dispatcher.acceptDelegated(createDelegated(1, LATER), LATER);
  assert.deepEqual(formatCommands(commands), ['start a.0.0.1/3 on w1']);
});

test('a reattachment does not start a task whose worker crashed', () => {
  const history = new TaskHistory();
  const crash = {task: 'a.0.0.0', workerId: 'w9', workerBornAt: 1};
  history.merge({crashes: [{...crash, isShared: true, ageMs: 0}]}, LATER);
  const dispatcher = new Dispatcher(options, 0, noopObserver, history);
  dispatcher.setWorkers([createWorker('w1')], 0);
  dispatcher.confirmWorkerList();
  pollAllWorkers(dispatcher, 1);
  dispatcher.resumeDelegated(createDelegated(0, LATER), LATER);
  const commands = dispatcher.acceptDelegated(createDelegated(1, LATER), LATER);
  assert.deepEqual(formatCommands(commands), ['start a.0.0.1/3 on w1']);
});

test('a reattached task that its former holder was not running ends as lost at once', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  const progress = createProgress({kind: 'waiting'});
  dispatcher.resumeDelegated(createDelegated(0, 5), 5, progress);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  assert.deepEqual(takeOutcomes(dispatcher), [lost]);
});

test('a reattached task of which the former holder told nothing is lost, not started', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  const progress = {isComplete: true, tasks: []};
  dispatcher.resumeDelegated(createDelegated(0, 5), 5, progress);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  assert.deepEqual(takeOutcomes(dispatcher), [lost]);
});

test('a reattached run that is lost is not started again', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.handleReport('w1', createReport([createRunningEntry(0)]), 1, 2);
  dispatcher.resumeDelegated(createDelegated(0, 5), 5);
  dispatcher.handleReport('w1', createReport(), LATER, LATER);
  assert.deepEqual(formatCommands(dispatcher.tick(LATER)), []);
  assert.deepEqual(takeOutcomes(dispatcher), [lost]);
});

/** Creates a new holder that was asked for the task and has found no run. */
function createNewHolder(job = createDelegated(0, 5)): Dispatcher {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  dispatcher.resumeDelegated(job, 5);
  return dispatcher;
}

/** Returns how the task ended before, and when, all earlier runs have ended. */
function endBeforeAndAfter(dispatcher: Dispatcher) {
  dispatcher.tick(1_640);
  const before = takeOutcomes(dispatcher);
  dispatcher.tick(1_660);
  return {before, after: takeOutcomes(dispatcher)};
}

test('a recalled task does not end while a run that is not known here may go on', () => {
  const dispatcher = createNewHolder();
  dispatcher.cancel('a.0.0.0@east', AbandonReason.Cancelled, 10);
  const after = [{kind: 'abandoned', reason: 'cancelled'}];
  assert.deepEqual(endBeforeAndAfter(dispatcher), {before: [], after});
});

test('the deadline does not end a task while a run that is not known here may go on', () => {
  const dispatcher = createNewHolder({
    ...createDelegated(0, 5),
    deadlineAt: 500,
  });
  const after = [{kind: 'abandoned', reason: 'deadline'}];
  assert.deepEqual(endBeforeAndAfter(dispatcher), {before: [], after});
});

test('a job does not start while a run that another zone delegated may go on', () => {
  const dispatcher = createNewHolder();
  dispatcher.submit(createJob('a', 1, longDeadline), false, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(1_640)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(1_660)), [
    'start a.0.0.0/1 on w1',
  ]);
});

/** Returns how the task ended by 300 ms when a found run of it was lost. */
function endAfterLossOf(run: number) {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  const entry = {...createRunningEntry(0), run};
  dispatcher.handleReport('w1', createReport([entry]), 1, 2);
  dispatcher.resumeDelegated(createDelegated(0, 5), 5);
  dispatcher.handleReport('w1', createReport(), 200, 201);
  dispatcher.tick(300);
  return takeOutcomes(dispatcher);
}

test('the loss of an earlier run does not end a task whose own run may go on', () => {
  assert.deepEqual(endAfterLossOf(2), []);
});

test('a reattached task whose own run is lost ends at once', () => {
  assert.deepEqual(endAfterLossOf(3), [lost]);
});

test('a former holder that does not know it yet is not asked in vain for a run', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  pollAllWorkers(dispatcher, 1);
  const job = createDelegated(0, LATER);
  dispatcher.resumeDelegated(job, LATER);
  dispatcher.tick(LATER + 590);
  const progress = dispatcher.describeProgress(job.id, LATER + 590);
  assert.deepEqual(takeOutcomes(dispatcher), []);
  assert.equal(progress?.isComplete, false);
  dispatcher.tick(LATER + 600);
  assert.deepEqual(takeOutcomes(dispatcher), [lost]);
});
