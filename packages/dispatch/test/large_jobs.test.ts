import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RunEnd,
  StartAnswer,
  type Command,
  type Dispatcher,
  type Job,
  type StartCommand,
} from '../src/index.js';
import {
  createDispatcher,
  createJob,
  createReport,
  createWorker,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

/** A task of which each worker fits thousands. */
const smallNeed = {cpuMillis: 20, memoryMb: 1, accelerators: 0};

/** Creates a job of small tasks; each takes 60 ms. */
function createSmallTasks(
  id: string,
  tasks: number,
  changes: Partial<Job> = {},
): Job {
  const steps = [{tasks, need: smallNeed, estimateMs: 60, after: []}];
  return createJob(id, tasks, {steps, ...changes});
}

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
  for (const {run} of first.slice(0, 5))
    dispatcher.handleStartAnswer(run, StartAnswer.Started, 25);
  const next = selectStarts(dispatcher.tick(25));
  assert.deepEqual(countByWorker(first), [16, 16]);
  assert.equal(unanswered.length, 0);
  assert.equal(next.length, 5);
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
  for (let round = 0; round < 4; round += 1) {
    for (const {run} of selectStarts(dispatcher.tick(round)))
      dispatcher.handleStartAnswer(run, StartAnswer.Started, round);
  }
  const large = selectStarts(dispatcher.tick(10));
  dispatcher.submit(createSmallTasks('b', 8), false, 11);
  const ordinary = selectStarts(dispatcher.tick(11));
  assert.deepEqual(countByWorker(large), [8, 8]);
  assert.deepEqual(
    ordinary.map(({run}) => run.recordId),
    Array.from({length: 8}, () => 'b'),
  );
});

test('two large jobs take turns', () => {
  const dispatcher = createTwoWorkers();
  for (const id of ['a', 'b'])
    dispatcher.submit(createSmallTasks(id, 300), false, 0);
  const started: string[] = [];
  for (let round = 0; started.length < 256; round += 1) {
    for (const {run} of selectStarts(dispatcher.tick(round))) {
      started.push(run.recordId);
      dispatcher.handleStartAnswer(run, StartAnswer.Started, round);
    }
  }
  const halves = started.slice(0, 256).filter(id => id === 'a').length;
  assert.equal(halves, 128);
});
