import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RunEnd,
  StartAnswer,
  type Command,
  type Dispatcher,
  type StartCommand,
  type StopCommand,
  WorkerRequestFailure,
} from '../src/index.js';
import {
  createDispatcher,
  createReport,
  createSmallTasks,
  createWorker,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

function createTwoWorkers(): Dispatcher {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createDispatcher(workers);
  pollAllWorkers(dispatcher, 0);
  return dispatcher;
}

function selectStarts(commands: readonly Command[]): StartCommand[] {
  return commands.filter(
    (command): command is StartCommand => command.kind === 'start',
  );
}

function countByWorker(starts: readonly StartCommand[]): number[] {
  return ['w1', 'w2'].map(
    id => starts.filter(({run}) => run.workerId === id).length,
  );
}

// Guards against a job whose start commands fill the memory of its holder.
test('a job of a thousand tasks has few unanswered starts at each worker', () => {
  const dispatcher = createTwoWorkers();
  dispatcher.submit(createSmallTasks('a', 1_000), false, 0);
  const first = selectStarts(dispatcher.tick(0));
  const unanswered = selectStarts(dispatcher.tick(20));
  for (const {run} of first)
    dispatcher.handleStartAnswer(run, StartAnswer.Started, 25);
  const next = selectStarts(dispatcher.tick(25));
  assert.deepEqual(countByWorker(first), [8, 8]);
  assert.equal(unanswered.length, 0);
  assert.deepEqual(countByWorker(next), [4, 4]);
});

/** Answers all starts and ends their runs, until nothing is started any more. */
function runAll(dispatcher: Dispatcher, now: number): string[] {
  const started: string[] = [];
  let sequence = 0;
  for (;;) {
    const starts = selectStarts(dispatcher.tick(now));
    if (starts.length === 0) return started;
    for (const {run} of starts) {
      started.push(run.key);
      dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
      sequence += 1;
      const {key: task, number} = run;
      const ended = [{sequence, task, run: number, end: RunEnd.Done}];
      const report = createReport([], ended);
      dispatcher.handleReport(run.workerId, report, now - 1, now);
    }
  }
}

test('every task of a large job is started once', () => {
  const dispatcher = createTwoWorkers();
  dispatcher.submit(createSmallTasks('a', 1_000), false, 0);
  const started = runAll(dispatcher, 0);
  assert.equal(started.length, 1_000);
  assert.equal(new Set(started).size, 1_000);
  assert.deepEqual(
    dispatcher.takeEndedJobs().map(({outcome}) => outcome.kind),
    ['completed'],
  );
});

// Guards against ordinary jobs that wait behind all tasks of a large one.
test('an ordinary job is started before the rest of a large job that is running', () => {
  const dispatcher = createTwoWorkers();
  dispatcher.submit(createSmallTasks('a', 1_000), false, 0);
  for (let round = 0; round < 5; round += 1) {
    for (const {run} of selectStarts(dispatcher.tick(round)))
      dispatcher.handleStartAnswer(run, StartAnswer.Started, round);
  }
  const large = selectStarts(dispatcher.tick(10));
  dispatcher.submit(createSmallTasks('b', 8), false, 11);
  const ordinary = selectStarts(dispatcher.tick(11));
  assert.deepEqual(countByWorker(large), [4, 4]);
  assert.deepEqual(
    ordinary.map(({run}) => run.recordId),
    Array.from({length: 8}, () => 'b'),
  );
});

// Guards against ordinary jobs that many jobs of some 60 tasks crowd out.
test('an ordinary job is started before the rest of many jobs of 60 tasks', () => {
  const dispatcher = createTwoWorkers();
  for (let index = 0; index < 10; index += 1)
    dispatcher.submit(createSmallTasks(`m${index}`, 60), false, 0);
  let started = 0;
  for (let now = 0; started < 160; now += 1) {
    for (const {run} of selectStarts(dispatcher.tick(now))) {
      started += 1;
      dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
    }
  }
  const others = selectStarts(dispatcher.tick(50));
  dispatcher.submit(createSmallTasks('b', 4), false, 51);
  const ordinary = selectStarts(dispatcher.tick(51));
  assert.deepEqual(countByWorker(others), [4, 4]);
  assert.deepEqual(
    ordinary.map(({run}) => run.recordId),
    ['b', 'b', 'b', 'b'],
  );
});

test('of two large jobs the one that is due first is started first', () => {
  const dispatcher = createTwoWorkers();
  for (const [at, id] of ['a', 'b'].entries())
    dispatcher.submit(createSmallTasks(id, 300, {arrivedAt: at}), false, at);
  const started: string[] = [];
  for (let now = 1; started.length < 600; now += 1) {
    for (const {run} of selectStarts(dispatcher.tick(now))) {
      started.push(run.recordId);
      dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
    }
  }
  const lastOfFirst = started.lastIndexOf('a');
  // The first tasks of each job go before the others.
  assert.ok(lastOfFirst <= 300 + 16, `${lastOfFirst}`);
});

function selectStops(commands: readonly Command[]): StopCommand[] {
  return commands.filter(
    (command): command is StopCommand => command.kind === 'stop',
  );
}

/** Submits a job of 300 tasks on one worker, whose starts are confirmed. */
function startLargeJob(dispatcher: Dispatcher): void {
  dispatcher.submit(createSmallTasks('a', 300), false, 0);
  for (let now = 0; now < 100; now += 1) {
    for (const {run} of selectStarts(dispatcher.tick(now)))
      dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
  }
}

// Guards against stops that pile up in memory when a large job is cancelled.
test('the runs of a cancelled large job are stopped a few at a time', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  startLargeJob(dispatcher);
  dispatcher.cancel('a', AbandonReason.Cancelled, 100);
  const stopped: string[] = [];
  const sizes: number[] = [];
  for (let now = 100; stopped.length < 300; now += 1) {
    const stops = selectStops(dispatcher.tick(now));
    assert.ok(stops.length > 0, 'no further stops');
    sizes.push(stops.length);
    for (const {key, run} of stops) {
      stopped.push(key);
      if (run !== undefined) dispatcher.handleStopAccepted(run, now, now);
    }
  }
  assert.deepEqual(new Set(sizes), new Set([32, 300 % 32]));
  assert.equal(new Set(stopped).size, 300);
});

test('unconfirmed stops are sent again after those that were never sent', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  startLargeJob(dispatcher);
  dispatcher.cancel('a', AbandonReason.Cancelled, 100);
  const first = selectStops(dispatcher.tick(100));
  const meanwhile = selectStops(dispatcher.tick(299));
  const second = selectStops(dispatcher.tick(300));
  const keys = [...first, ...second].map(({key}) => key);
  assert.deepEqual(
    [first.length, meanwhile.length, second.length],
    [32, 0, 32],
  );
  assert.equal(new Set(keys).size, 64);
});

// Guards against a call to another zone for each task of a large job.
test('few runs of a large job are delegated to other zones at a time', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  const roomy = {slowness: 1, cpuMillis: 64_000, memoryMb: 100_000};
  const reported = {zone: 'east', service: 'pricing', vacancies: [roomy]};
  let delegated = 0;
  const job = createSmallTasks('a', 2_000, {deadlineAt: 20_000});
  dispatcher.submit(job, false, 0);
  dispatcher.handlePollFailure('w1', WorkerRequestFailure.Unanswered, 0);
  for (let now = 0; now < 100; now += 10) {
    dispatcher.updateZoneVacancies(reported, now);
    const commands = dispatcher.tick(now);
    delegated += commands.filter(({kind}) => kind === 'lend').length;
  }
  assert.equal(delegated, 256);
});

// Guards against calls to other zones for what this zone can soon start itself.
test('a large job for which this zone has the capacity is not delegated', () => {
  const dispatcher = createTwoWorkers();
  const roomy = {slowness: 1, cpuMillis: 64_000, memoryMb: 100_000};
  const reported = {zone: 'east', service: 'pricing', vacancies: [roomy]};
  dispatcher.submit(createSmallTasks('a', 300), false, 0);
  const kinds = new Set<string>();
  for (let now = 0; now < 300; now += 10) {
    dispatcher.updateZoneVacancies(reported, now);
    for (const command of dispatcher.tick(now)) {
      kinds.add(command.kind);
      if (command.kind === 'start')
        dispatcher.handleStartAnswer(command.run, StartAnswer.Started, now);
    }
  }
  assert.deepEqual([...kinds], ['start']);
});
