import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StartAnswer, type Dispatcher, type Run} from '../src/index.js';
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
test('a run on a worker that is five times slower than those of its job is moved', () => {
  const {dispatcher, runs} = startThreeTasks();
  const stops = reportUntil(dispatcher, runs, [1_400, 280, 300], 280);
  assert.deepEqual(stops, [`stop a.0.0.0/1 on ${runs[0]?.workerId ?? ''}`]);
});
