import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  CrashHistory,
  Dispatcher,
  type Job,
  type JobProgress,
  type TaskProgressState,
} from '../src/index.js';
import {
  options,
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
  const delegated = {name: {jobId: 'a', step: 0, index}, run: 3};
  return createJob(`a.0.0.${index}@east`, 1, {
    arrivedAt: now,
    targetMs: longDeadline.targetMs,
    deadlineAt: now + longDeadline.deadlineAt,
    delegated,
    delegatedBy: 'east',
  });
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
  const crashes = new CrashHistory();
  const crash = {task: 'a.0.0.0', workerId: 'w9', workerBornAt: 1};
  crashes.merge([{...crash, isShared: true, ageMs: 0}], LATER);
  const dispatcher = new Dispatcher(options, 0, noopObserver, crashes);
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
