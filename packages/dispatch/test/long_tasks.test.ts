import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RunEnd,
  StartAnswer,
  WorkerRequestFailure,
  type Dispatcher,
  type Run,
} from '../src/index.js';
import {
  createDispatcher,
  createJob,
  createReport,
  createWorker,
  formatCommands,
  pollAllWorkers,
} from './fixtures/dispatcher_setup.js';

/** A worker for one task, so that the tasks of a job run apart. */
const small = {
  capacity: {cpuMillis: 30_000, memoryMb: 100_000, accelerators: 0},
};

/** Starts job `a` of three tasks on three workers; two more stay free. */
function startThreeTasks(): {dispatcher: Dispatcher; runs: Run[]} {
  const ids = ['w1', 'w2', 'w3', 'w4', 'w5'];
  const dispatcher = createDispatcher(ids.map(id => createWorker(id, small)));
  pollAllWorkers(dispatcher, 0);
  dispatcher.submit(createJob('a', 3, {deadlineAt: 3_000}), false, 0);
  const runs = dispatcher
    .tick(0)
    .flatMap(command => (command.kind === 'start' ? [command.run] : []));
  for (const run of runs)
    dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  return {dispatcher, runs};
}

/** Reports runs whose tasks take this many ms; returns the stopped ones. */
function reportUntil(
  dispatcher: Dispatcher,
  runs: readonly Run[],
  lengths: readonly number[],
  endMs: number,
): string[] {
  const stops: string[] = [];
  for (let now = 100; now <= endMs; now += 50) {
    for (const [index, run] of runs.entries()) {
      const percent = Math.floor((100 * now) / (lengths[index] ?? now));
      const entry = {task: run.key, run: run.number, percent};
      const report = createReport([entry]);
      dispatcher.handleReport(run.workerId, report, now - 1, now);
    }
    stops.push(...formatCommands(dispatcher.tick(now)));
  }
  return stops.filter(line => line.startsWith('stop'));
}

// Guards against restarting long work elsewhere, where it takes as long.
test('a run is not moved while the other tasks of its job are as long', () => {
  const {dispatcher, runs} = startThreeTasks();
  assert.equal(runs.length, 3);
  const stops = reportUntil(dispatcher, runs, [1_400, 1_500, 1_300], 1_000);
  assert.deepEqual(stops, []);
});

// Guards against taking a slow worker for a long task.
test('a run on a worker that is seven times slower than those of its job is moved', () => {
  const {dispatcher, runs} = startThreeTasks();
  const stops = reportUntil(dispatcher, runs, [2_100, 280, 300], 280);
  assert.deepEqual(stops, [`stop a.0.0.0/1 on ${runs[0]?.workerId ?? ''}`]);
});

/** Starts job `a` of one task on one of two workers. */
function startOneTask(): {dispatcher: Dispatcher; run: Run} {
  const dispatcher = createDispatcher([createWorker('w1'), createWorker('w2')]);
  pollAllWorkers(dispatcher, 0);
  const job = createJob('a', 1);
  const steps = job.steps.map(step => ({...step, estimateMs: 1_000}));
  dispatcher.submit({...job, steps}, false, 0);
  const [start] = dispatcher.tick(0);
  assert.ok(start?.kind === 'start');
  dispatcher.handleStartAnswer(start.run, StartAnswer.Started, 1);
  return {dispatcher, run: start.run};
}

function report(
  dispatcher: Dispatcher,
  {workerId, key: task, number}: Run,
  percent: number,
  now: number,
): string[] {
  const entry = {task, run: number, percent};
  dispatcher.handleReport(workerId, createReport([entry]), now - 1, now);
  return formatCommands(dispatcher.tick(now));
}

// Guards against capacity spent on a job whose caller can't be served.
test('a job whose run can not end before the deadline ends once its reports agree on it', () => {
  const {dispatcher, run} = startOneTask();
  const stop = [`stop a.0.0.0/1 on ${run.workerId}`];
  assert.deepEqual(report(dispatcher, run, 32, 800), []);
  assert.deepEqual(report(dispatcher, run, 36, 900), []);
  assert.deepEqual(report(dispatcher, run, 40, 1_000), stop);
  assert.deepEqual(dispatcher.takeEndedJobs(), []);
  const {key: task} = run;
  const ended = [{sequence: 1, task, run: 1, end: RunEnd.Stopped}];
  dispatcher.handleReport(run.workerId, createReport([], ended), 1_010, 1_011);
  assert.deepEqual(
    dispatcher.takeEndedJobs().map(({outcome}) => outcome),
    [{kind: 'abandoned', reason: AbandonReason.RunTooLong}],
  );
});

// Guards against ending a job by progress that says nothing.
test('a job is not ended by reports that contradict each other, or that stand still', () => {
  const {dispatcher, run} = startOneTask();
  const commands = [
    [32, 800],
    [32, 900],
    [90, 1_000],
    [40, 1_100],
    [42, 1_150],
    [44, 1_200],
  ].flatMap(([percent = 0, now = 0]) => report(dispatcher, run, percent, now));
  assert.deepEqual(commands, []);
});

// Guards against ending a job by progress that is out of date.
test('a job is not ended by the progress of a worker that does not answer any more', () => {
  const {dispatcher, run} = startOneTask();
  report(dispatcher, run, 32, 800);
  report(dispatcher, run, 36, 900);
  const entry = {task: run.key, run: 1, percent: 40};
  dispatcher.handleReport(run.workerId, createReport([entry]), 999, 1_000);
  dispatcher.recordLease(run.workerId, 999);
  const failure = WorkerRequestFailure.Unanswered;
  dispatcher.handlePollFailure(run.workerId, failure, 1_001);
  assert.deepEqual(formatCommands(dispatcher.tick(1_005)), []);
});

// Guards against refusing work that is late only by its declaration.
test('a job is due later when its longest task shows to be longer', () => {
  const {dispatcher, runs} = startThreeTasks();
  const before = dispatcher.jobs.get('a')?.dueAt ?? 0;
  reportUntil(dispatcher, runs, [700, 650, 600], 300);
  const after = dispatcher.jobs.get('a')?.dueAt ?? 0;
  assert.equal(before, 1.6 * 200 + 60);
  assert.ok(Math.abs(after - (1.6 * 700 + 60)) < 60, `${after}`);
});
