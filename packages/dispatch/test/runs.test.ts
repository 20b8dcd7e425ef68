import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RunEnd,
  StartAnswer,
  type Dispatcher,
  type Command,
  type StartCommand,
  WorkerRequestFailure,
} from '../src/index.js';
import {
  createJob,
  createReport,
  createDispatcher,
  createWorker,
  formatCommands,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

function filterStarts(commands: readonly Command[]): StartCommand[] {
  return commands.filter(command => command.kind === 'start');
}

function startOne(dispatcher: Dispatcher, now: number): StartCommand {
  const [start] = filterStarts(dispatcher.tick(now));
  assert.ok(start !== undefined);
  return start;
}

test('no worker gets a task before it has been polled', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  dispatcher.submit(createJob('a', 1), false, 0);
  assert.deepEqual(formatCommands(dispatcher.tick(0)), []);
  pollAllWorkers(dispatcher, 1);
  assert.deepEqual(formatCommands(dispatcher.tick(1)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a new holder refuses no job before it has polled all workers', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createDispatcher(workers);
  dispatcher.submit(createJob('a', 1), false, 0);
  dispatcher.tick(0);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
  assert.equal(dispatcher.jobs.size, 1);
});

test('a job for which no capacity becomes free in time is refused immediately', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  const [step] = createJob('b', 2).steps;
  assert.ok(step !== undefined);
  const long = [{...step, estimateMs: 1_300}];
  dispatcher.submit(createJob('a', 2, {steps: long}), false, 0);
  assert.equal(filterStarts(dispatcher.tick(0)).length, 2);
  const steps = [{...step, estimateMs: 20}];
  dispatcher.submit(createJob('b', 2, {queue: 'short', steps}), false, 1);
  dispatcher.tick(1);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.id, 'b');
  assert.ok(ended?.outcome.kind === 'refused');
  // 54 of 64 processors are busy for another 1.3 s, and 85% can be filled.
  const drainMs = (54 * 1_299) / (64 * 0.85);
  assert.ok(Math.abs(ended.outcome.retryAfterMs - drainMs) < 1);
});

test('no step of a job starts after the job was refused because of another step', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  const [step] = createJob('a', 1).steps;
  assert.ok(step !== undefined);
  const long = [{...step, estimateMs: 1_300}];
  dispatcher.submit(createJob('a', 1, {steps: long}), false, 0);
  assert.equal(filterStarts(dispatcher.tick(0)).length, 1);
  // The first step fits only after the long task, the second one now.
  const wide = {...step.need, cpuMillis: 60_000};
  const small = {...step.need, cpuMillis: 1_000};
  const steps = [
    {...step, need: wide, estimateMs: 20},
    {...step, need: small, estimateMs: 20},
  ];
  dispatcher.submit(createJob('b', 1, {queue: 'short', steps}), false, 1);
  assert.deepEqual(formatCommands(dispatcher.tick(1)), []);
  assert.equal(dispatcher.takeEndedJobs()[0]?.outcome.kind, 'refused');
});

test('a run that would end too late is moved once to a healthy worker', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createDispatcher(workers);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1, {targetMs: 500}), false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  const entry = {task: run.key, run: 1, percent: 10};
  dispatcher.handleReport(run.workerId, createReport([entry]), 199, 200);
  assert.deepEqual(formatCommands(dispatcher.tick(200)), [
    `stop a.0.0.0/1 on ${run.workerId}`,
  ]);
  dispatcher.handleStopAccepted(run, 200, 201);
  const [again] = formatCommands(dispatcher.tick(290));
  assert.match(again ?? '', /^start a\.0\.0\.0\/2 on w/);
  assert.ok(!(again ?? '').endsWith(run.workerId));
});

test('a task whose start was unanswered does not start again after its stop is complete', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createDispatcher(workers);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.handleStartAnswer(run, StartAnswer.Unanswered, 200);
  assert.deepEqual(formatCommands(dispatcher.tick(200)), [
    `stop a.0.0.0/1 on ${run.workerId}`,
  ]);
  dispatcher.handleStopAccepted(run, 200, 201);
  assert.deepEqual(formatCommands(dispatcher.tick(270)), []);
  assert.deepEqual(formatCommands(dispatcher.tick(290)), []);
  const [ended] = dispatcher.takeEndedJobs();
  assert.equal(ended?.outcome.kind, 'abandoned');
});

test('an unresponsive worker keeps its tasks until every lease has expired', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createDispatcher(workers);
  pollAllWorkers(dispatcher, 0);
  const job = createJob('a', 1, {deadlineAt: 9_000, targetMs: 5_000});
  dispatcher.submit(job, false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.recordLease(run.workerId, 0);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  dispatcher.handlePollFailure(
    run.workerId,
    WorkerRequestFailure.Unanswered,
    1,
  );
  assert.deepEqual(formatCommands(dispatcher.tick(1_040)), []);
  const [again] = formatCommands(dispatcher.tick(1_060));
  assert.match(again ?? '', /^start a\.0\.0\.0\/2 on w/);
  assert.ok(!(again ?? '').endsWith(run.workerId));
});

test('the runs of a worker are lost when it restarts', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  dispatcher.handleReport('w1', createReport([], [], 2), 10, 11);
  dispatcher.setWorkers([createWorker('w1', {bornAt: 2})], 11);
  assert.deepEqual(formatCommands(dispatcher.tick(11)), [
    'start a.0.0.0/2 on w1',
  ]);
});

test('a poll sent before the start was confirmed does not make the run count as lost', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const {run} = startOne(dispatcher, 5);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 7);
  dispatcher.handleReport('w1', createReport(), 4, 8);
  assert.deepEqual(formatCommands(dispatcher.tick(8)), []);
  dispatcher.handleReport('w1', createReport(), 9, 10);
  assert.deepEqual(formatCommands(dispatcher.tick(10)), [
    'start a.0.0.0/2 on w1',
  ]);
});

test('a late job is refused if it never started and abandoned if it did', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 2), false, 0);
  dispatcher.submit(createJob('b', 2, {deadlineAt: 400}), false, 0);
  for (const {run} of filterStarts(dispatcher.tick(0))) {
    dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  }
  dispatcher.tick(400);
  const [refused] = dispatcher.takeEndedJobs();
  assert.equal(refused?.outcome.kind, 'refused');
  assert.equal(refused?.hasStarted, false);
  dispatcher.tick(1_500);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
  const ended = [0, 1].map(index => ({
    sequence: index + 1,
    task: `${refused?.id === 'a' ? 'b' : 'a'}.0.0.${index}`,
    run: 1,
    end: RunEnd.Stopped,
  }));
  dispatcher.handleReport('w1', createReport([], ended), 1_510, 1_511);
  assert.deepEqual(
    dispatcher.takeEndedJobs().map(({outcome}) => outcome),
    [{kind: 'abandoned', reason: AbandonReason.Deadline}],
  );
});

test('a job fails when a task has used up its attempts', () => {
  const dispatcher = createDispatcher([createWorker('w1'), createWorker('w2')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  for (const attempt of [1, 2]) {
    const {run} = startOne(dispatcher, attempt * 10);
    dispatcher.handleStartAnswer(run, StartAnswer.Started, attempt * 10 + 1);
    const end = {
      sequence: attempt,
      task: run.key,
      run: attempt,
      end: RunEnd.Failed,
    };
    const at = attempt * 10 + 2;
    dispatcher.handleReport(run.workerId, createReport([], [end]), at, at);
  }
  const [ended] = dispatcher.takeEndedJobs();
  assert.deepEqual(ended?.outcome, {kind: 'failed'});
});

test('a resubmitted job continues its run numbers', () => {
  const dispatcher = createDispatcher([createWorker('w1')]);
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  dispatcher.cancel('a', AbandonReason.Cancelled, 10);
  dispatcher.handleStopAccepted(run, 10, 11);
  dispatcher.tick(100);
  const again = createJob('a', 1, {arrivedAt: 1_400, deadlineAt: 3_000});
  dispatcher.submit(again, false, 1_400);
  assert.equal(startOne(dispatcher, 1_400).run.number, 2);
});

test('a task that takes much longer than declared is moved only once', () => {
  const dispatcher = createDispatcher([createWorker('w1'), createWorker('w2')]);
  pollAllWorkers(dispatcher, 0);
  const long = {targetMs: 60_000, deadlineAt: 60_000};
  dispatcher.submit(createJob('a', 1, long), false, 0);
  const places: string[] = [];
  for (let now = 0; now < 20_000; now += 100) {
    for (const command of dispatcher.tick(now)) {
      if (command.kind === 'stop' && command.run !== undefined) {
        dispatcher.handleStopAccepted(command.run, now, now);
      }
      if (command.kind !== 'start') continue;
      places.push(command.run.workerId);
      dispatcher.handleStartAnswer(command.run, StartAnswer.Started, now);
    }
    for (const [id, worker] of dispatcher.workers) {
      const running = [...worker.runs.values()].map(({key, number: run}) => ({
        task: key,
        run,
        percent: 1,
      }));
      dispatcher.handleReport(id, createReport(running), now, now);
    }
  }
  assert.equal(places.length, 2);
  assert.notEqual(places[0], places[1]);
});
