import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonReason, type Dispatcher} from '../src/index.js';
import {
  createDispatcher,
  createJob,
  createReport,
  createWorker,
  formatCommands,
  longDeadline,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

const jobOfOneTask = createJob('a', 1, longDeadline);
const startOfTask = ['start a.0.0.0/1 on w1'];

/** Creates a dispatcher whose only worker is idle. */
function createIdleDispatcher(heldSince?: number): Dispatcher {
  const dispatcher = createDispatcher([createWorker('w1')], heldSince);
  pollAllWorkers(dispatcher, 0);
  return dispatcher;
}

/** Handles a report of the holder with this token in the zone "east". */
function report(
  dispatcher: Dispatcher,
  token: number,
  jobIds: readonly string[],
  now: number,
  isCut = false,
): void {
  dispatcher.handleAbandonedJobs({zone: 'east', token, jobIds, isCut}, now);
}

test('a new holder does not start a job beside a delegated run that another zone has yet to report', () => {
  const dispatcher = createIdleDispatcher(0);
  dispatcher.delegationSurvey.expect(['east', 'west'], 0);
  dispatcher.submit(jobOfOneTask, false, 5);
  const west = {isComplete: true, tasks: []};
  dispatcher.handleDelegationReport('west', west, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), []);
  const east = {isComplete: false, tasks: [{key: 'a.0.0.0', run: 1}]};
  dispatcher.handleDelegationReport('east', east, 20);
  assert.deepEqual(formatCommands(dispatcher.tick(20)), [
    'delegate a.0.0.0/1 to east',
  ]);
});

test('a job is not started while another zone runs it though nobody waits for it there', () => {
  const dispatcher = createIdleDispatcher();
  report(dispatcher, 1, ['a'], 0);
  dispatcher.submit(jobOfOneTask, false, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), []);
  report(dispatcher, 1, [], 300);
  assert.deepEqual(formatCommands(dispatcher.tick(300)), startOfTask);
});

test('a waiting job is held back once another zone reports that it may run there', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.submit(jobOfOneTask, false, 1);
  report(dispatcher, 1, ['a'], 2);
  pollAllWorkers(dispatcher, 3);
  assert.deepEqual(formatCommands(dispatcher.tick(3)), []);
});

test('a job that runs here goes on when another zone reports it', () => {
  const dispatcher = createIdleDispatcher();
  dispatcher.submit(createJob('a', 3, longDeadline), false, 0);
  assert.equal(dispatcher.tick(0).length, 2);
  report(dispatcher, 1, ['a'], 1);
  const end = {sequence: 1, task: 'a.0.0.0', run: 1, end: 'done'} as never;
  dispatcher.handleReport('w1', createReport([], [end]), 5, 6);
  assert.deepEqual(formatCommands(dispatcher.tick(6)), [
    'start a.0.0.2/1 on w1',
  ]);
});

test('a job that a lost zone reported is held back for 2 s', () => {
  const dispatcher = createIdleDispatcher();
  report(dispatcher, 1, ['a'], 0);
  dispatcher.submit(jobOfOneTask, false, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(1_979)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(2_000)), startOfTask);
});

test('a new holder of another zone does not withdraw what the one before reported', () => {
  const dispatcher = createIdleDispatcher();
  report(dispatcher, 1, ['a'], 0);
  report(dispatcher, 2, [], 100);
  dispatcher.submit(jobOfOneTask, false, 110);
  assert.deepEqual(formatCommands(dispatcher.tick(110)), []);
});

test('a job that was held back is not refused as not run', () => {
  const dispatcher = createIdleDispatcher();
  report(dispatcher, 1, ['a'], 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  dispatcher.tick(1_500);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'abandoned');
});

test('a job that is being stopped is reported until its runs have ended', () => {
  const dispatcher = createIdleDispatcher();
  dispatcher.submit(jobOfOneTask, false, 0);
  dispatcher.tick(0);
  assert.deepEqual([...dispatcher.findAbandonedJobs(0)], []);
  dispatcher.cancel('a', AbandonReason.Cancelled, 10);
  assert.deepEqual([...dispatcher.findAbandonedJobs(0).keys()], ['a']);
  const end = {sequence: 1, task: 'a.0.0.0', run: 1, end: 'stopped'} as never;
  dispatcher.handleReport('w1', createReport([], [end]), 20, 30);
  assert.deepEqual([...dispatcher.findAbandonedJobs(0)], []);
});

test('runs here that nobody has claimed are reported, and not those that other zones report', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
  dispatcher.handleReport('w1', createReport(running), 1, 2);
  const report = {isComplete: true, tasks: [{key: 'b.0.0.0', run: 1}]};
  dispatcher.handleDelegationReport('east', report, 3);
  assert.deepEqual([...dispatcher.findAbandonedJobs(0).keys()], ['a']);
});

test('a job that is held back stays so at the next holder', () => {
  const first = createIdleDispatcher();
  report(first, 1, ['a'], 0);
  first.submit(jobOfOneTask, false, 10);
  const progress = first.describeProgress('a', 20);
  const next = createDispatcher([createWorker('w1')], 50);
  pollAllWorkers(next, 60);
  next.submit(jobOfOneTask, true, 80, progress);
  report(next, 1, ['a'], 85);
  assert.deepEqual(formatCommands(next.tick(90)), []);
});

test('a list of a zone whose holder has not polled its workers does not end the wait for it', () => {
  const dispatcher = createIdleDispatcher(0);
  dispatcher.delegationSurvey.expect(['east'], 0);
  dispatcher.submit(jobOfOneTask, false, 5);
  const unknown = {isComplete: false, hasPolledWorkers: false, tasks: []};
  dispatcher.handleDelegationReport('east', unknown, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), []);
  const polled = {...unknown, hasPolledWorkers: true};
  dispatcher.handleDelegationReport('east', polled, 40);
  assert.deepEqual(formatCommands(dispatcher.tick(40)), startOfTask);
});

test('a job whose progress is known does not wait for the lists of other zones', () => {
  const dispatcher = createIdleDispatcher(0);
  dispatcher.delegationSurvey.expect(['east'], 0);
  const progress = {isComplete: true, tasks: []};
  dispatcher.submit(jobOfOneTask, true, 5, progress);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), startOfTask);
});

test('runs that nobody has claimed count as abandoned since the change of holder, not since they were found', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
  dispatcher.handleReport('w1', createReport(running), 298, 300);
  assert.deepEqual([...dispatcher.findAbandonedJobs(300)], [['a', 0]]);
});

test('no job starts that another zone may have left out of its list of abandoned jobs', () => {
  const dispatcher = createIdleDispatcher();
  const isCut = true;
  report(dispatcher, 1, ['b'], 0, isCut);
  dispatcher.submit(jobOfOneTask, false, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), []);
  report(dispatcher, 1, ['b'], 300);
  assert.deepEqual(formatCommands(dispatcher.tick(300)), startOfTask);
});

test('a waiting job is held back by a cut list, and for 2 s if its holder is lost', () => {
  const dispatcher = createDispatcher([createWorker('w1')], 0);
  dispatcher.submit(jobOfOneTask, false, 1);
  const isCut = true;
  report(dispatcher, 1, ['b'], 2, isCut);
  pollAllWorkers(dispatcher, 3);
  assert.deepEqual(formatCommands(dispatcher.tick(4)), []);
  report(dispatcher, 2, [], 100);
  assert.deepEqual(formatCommands(dispatcher.tick(1_990)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(2_010)), startOfTask);
});
