/** Tasks that wait in another zone for capacity that comes free soon. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RunEnd, type Dispatcher, type Job} from '../src/index.js';
import {
  createDispatcher,
  createJob,
  createReport,
  createWorker,
  formatCommands,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

/** Creates a dispatcher whose only worker runs two tasks of job `busy`. */
function createBusyDispatcher(): Dispatcher {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('busy', 2), false, 0);
  dispatcher.tick(0);
  return dispatcher;
}

/** Ends one of the two running tasks. */
function endTask(dispatcher: Dispatcher, now: number): void {
  const end = {sequence: 1, task: 'busy.0.0.0', run: 1, end: RunEnd.Done};
  dispatcher.handleReport('w1', createReport([], [end]), now, now);
}

/** Creates a task of zone `east` that may wait until `startUntil`. */
function createDelegatedTask(startUntil: number): Job {
  const name = {jobId: 'a', step: 0, index: 0};
  const delegated = {name, run: 1, startUntil};
  return createJob('a.0.0.0@east', 1, {delegated, delegatedBy: 'east'});
}

/** The delegated commands after a zone reported a vacancy in `freeInMs`. */
function delegateTo(freeInMs: number): string[] {
  const dispatcher = createBusyDispatcher();
  const vacancy = {slowness: 1, cpuMillis: 27_000, memoryMb: 100, freeInMs};
  const reported = {zone: 'east', service: 'pricing', vacancies: [vacancy]};
  dispatcher.updateZoneVacancies(reported, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  return formatCommands(dispatcher.tick(0));
}

test('a task is delegated to capacity that another zone has free soon, not much later', () => {
  assert.deepEqual(delegateTo(20), ['delegate a.0.0.0/1 to east']);
  assert.deepEqual(delegateTo(180), []);
});

test('running tasks are reported to other zones as vacancies at their expected end', () => {
  const dispatcher = createBusyDispatcher();
  dispatcher.tick(150);
  const reported = dispatcher.findVacancies('pricing', 150);
  assert.deepEqual(
    reported.map(({freeInMs}) => freeInMs),
    [0, 50, 50],
  );
  dispatcher.submit(createJob('a', 1), false, 150);
  dispatcher.tick(150);
  const rest = dispatcher.findVacancies('pricing', 150);
  assert.equal(rest.length, 2, 'one is kept for the job that waits');
});

test('a delegated task starts when a run ends in time', () => {
  const dispatcher = createBusyDispatcher();
  const task = createDelegatedTask(100);
  assert.deepEqual(dispatcher.acceptDelegated(task, 10), []);
  endTask(dispatcher, 60);
  assert.deepEqual(formatCommands(dispatcher.tick(60)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a delegated task that could not start in time is refused and never starts', () => {
  const dispatcher = createBusyDispatcher();
  dispatcher.acceptDelegated(createDelegatedTask(100), 10);
  dispatcher.tick(99);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
  // A process that was paused applies what it missed before it places tasks.
  endTask(dispatcher, 3_000);
  const starts = dispatcher.tick(3_000).filter(({kind}) => kind === 'start');
  assert.deepEqual(starts, []);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.id, 'a.0.0.0@east');
  assert.equal(ended.outcome.kind, 'refused');
  assert.equal(ended.hasStarted, false);
});

test('a delegated task that may not wait is refused at once', () => {
  const dispatcher = createBusyDispatcher();
  dispatcher.acceptDelegated(createDelegatedTask(10), 10);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'refused');
});
