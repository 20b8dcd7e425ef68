import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RunEnd,
  StartAnswer,
  type Dispatcher,
  type StartCommand,
  type Worker,
} from '../src/index.js';
import {
  createDelegatedTask,
  createDispatcher,
  createJob,
  createReport,
  createRunningEntry,
  createWorker,
  formatCommands,
  longDeadline,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

/** Capacity of a worker that fits one task of 27 processors. */
const oneTask = {cpuMillis: 30_000, memoryMb: 100_000, accelerators: 0};

function startDue(dispatcher: Dispatcher, now: number): StartCommand[] {
  const starts = dispatcher
    .tick(now)
    .filter((command): command is StartCommand => command.kind === 'start');
  for (const {run} of starts)
    dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
  return starts;
}

function list(
  dispatcher: Dispatcher,
  changes: Partial<Worker>,
  now: number,
): void {
  dispatcher.setWorkers([createWorker('w1', changes)], now);
}

/** Reports that one of the runs has ended, and the others go on. */
function reportEnd(
  dispatcher: Dispatcher,
  [ended, ...others]: readonly StartCommand[],
  end: RunEnd,
  now: number,
): void {
  assert.ok(ended !== undefined);
  const running = others.map(({run}) => ({
    task: run.key,
    run: run.number,
    percent: 10,
  }));
  const {key: task, number: run} = ended.run;
  const ends = [{sequence: 1, task, run, end}];
  dispatcher.handleReport('w1', createReport(running, ends), now, now);
}

test('a worker whose capacity has shrunk gets a task only when its runs fit again', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 2, longDeadline), false, 0);
  const starts = startDue(dispatcher, 0);
  assert.equal(starts.length, 2);
  list(dispatcher, {capacity: oneTask}, 10);
  dispatcher.submit(createJob('b', 1, longDeadline), false, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), []);
  reportEnd(dispatcher, starts, RunEnd.Done, 20);
  assert.deepEqual(formatCommands(dispatcher.tick(20)), []);
  list(dispatcher, {}, 30);
  assert.equal(startDue(dispatcher, 30).length, 1);
});

test('a run that is being stopped counts against a capacity that has shrunk', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1, longDeadline), false, 0);
  const starts = startDue(dispatcher, 0);
  list(dispatcher, {capacity: oneTask}, 10);
  dispatcher.cancel('a', AbandonReason.Cancelled, 10);
  dispatcher.submit(createJob('b', 1, longDeadline), false, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), [
    'stop a.0.0.0/1 on w1',
  ]);
  const [stopped] = starts;
  assert.ok(stopped !== undefined);
  dispatcher.handleStopAccepted(stopped.run, 10, 20);
  assert.deepEqual(formatCommands(dispatcher.tick(20)), []);
  reportEnd(dispatcher, starts, RunEnd.Stopped, 30);
  assert.equal(startDue(dispatcher, 30).length, 1);
});

test('a restarted worker gets no task by the capacity of its former incarnation', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.handleReport('w1', createReport([], [], 2), 10, 11);
  dispatcher.submit(createJob('a', 2, longDeadline), false, 20);
  assert.deepEqual(formatCommands(dispatcher.tick(20)), []);
  list(dispatcher, {}, 30);
  assert.deepEqual(formatCommands(dispatcher.tick(30)), []);
  list(dispatcher, {bornAt: 2, capacity: oneTask}, 40);
  dispatcher.submit(createJob('b', 2, longDeadline), false, 40);
  assert.equal(startDue(dispatcher, 40).length, 1);
});

test('a delegated task is refused on a worker whose capacity has shrunk below its runs', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1, longDeadline), false, 0);
  startDue(dispatcher, 0);
  list(dispatcher, {capacity: oneTask}, 10);
  const commands = dispatcher.acceptDelegated(
    createDelegatedTask('b', longDeadline, {run: 1}),
    10,
  );
  assert.deepEqual(formatCommands(commands), []);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'refused');
});

test('a delegated task that runs counts against a capacity that has shrunk', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  const commands = dispatcher.acceptDelegated(
    createDelegatedTask('a', longDeadline, {run: 1}),
    0,
  );
  const [start] = commands;
  assert.ok(start?.kind === 'start');
  dispatcher.handleStartAnswer(start.run, StartAnswer.Started, 0);
  list(dispatcher, {capacity: oneTask}, 10);
  dispatcher.submit(createJob('b', 1, longDeadline), false, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), []);
  reportEnd(dispatcher, [start], RunEnd.Done, 20);
  assert.equal(startDue(dispatcher, 20).length, 1);
});

test('a new holder counts the runs that it adopts against a capacity that has shrunk', () => {
  const shrunk = createWorker('w1', {capacity: oneTask});
  const dispatcher = createDispatcher([shrunk], 0);
  dispatcher.handleReport('w1', createReport([createRunningEntry(0)]), 1, 2);
  dispatcher.submit(createJob('a', 1, longDeadline), true, 5);
  dispatcher.submit(createJob('b', 1, longDeadline), false, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(1_660)), []);
  const end = {sequence: 1, task: 'a.0.0.0', run: 3, end: RunEnd.Done};
  dispatcher.handleReport('w1', createReport([], [end]), 1_700, 1_701);
  assert.deepEqual(formatCommands(dispatcher.tick(1_701)), [
    'start b.0.0.0/1 on w1',
  ]);
});

test('a new holder places nothing beside a run that nobody claims on a worker that has shrunk', () => {
  const shrunk = createWorker('w1', {capacity: oneTask});
  const dispatcher = createDispatcher([shrunk], 0);
  dispatcher.handleReport('w1', createReport([createRunningEntry(0)]), 1, 2);
  dispatcher.submit(createJob('b', 1, longDeadline), false, 5);
  assert.deepEqual(formatCommands(dispatcher.tick(5)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(510)), [
    'stop a.0.0.0/3 on w1',
  ]);
  assert.deepEqual(formatCommands(dispatcher.tick(600)), []);
});

test('a worker that has shrunk below its runs offers other zones no capacity until it has grown', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 2, longDeadline), false, 0);
  startDue(dispatcher, 0);
  list(dispatcher, {capacity: oneTask}, 10);
  assert.deepEqual(dispatcher.findVacancies('pricing', 10), []);
  list(dispatcher, {}, 20);
  const [vacancy] = dispatcher.findVacancies('pricing', 20);
  assert.equal(vacancy?.cpuMillis, 10_000);
});

test('a task that did not fit when its worker had shrunk starts as soon as it has grown', () => {
  const shrunk = createWorker('w1', {capacity: oneTask});
  const dispatcher = createDispatcher([shrunk]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 2, longDeadline), false, 0);
  assert.equal(startDue(dispatcher, 0).length, 1);
  list(dispatcher, {}, 10);
  assert.equal(startDue(dispatcher, 10).length, 1);
});
