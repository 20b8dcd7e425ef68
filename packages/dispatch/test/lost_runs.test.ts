import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Dispatcher,
  StartAnswer,
  WorkerRequestFailure,
  type StartCommand,
} from '../src/index.js';
import {
  options,
  createJob,
  createReport,
  createWorker,
  pollAllWorkers,
  longDeadline,
} from './fixtures/dispatcher_setup.js';

/** Time after a start by which its lease has certainly expired, in ms. */
const AFTER_LEASE_MS = 1_100;

/** A dispatcher with one worker and the log of its observer. */
function createLoggingDispatcher() {
  const lines: string[] = [];
  const dispatcher = new Dispatcher(options, -10_000, {
    runEnded: ({key, isShared}, conclusion) =>
      lines.push(`${key} ${conclusion}${isShared ? ' shared' : ''}`),
    lossesExplained: (worker, losses, hasRestarted) => {
      const keys = losses.map(({key}) => key).join(' ');
      lines.push(`${worker} restarted: ${hasRestarted}, lost ${keys}`);
    },
    crashRecorded: () => undefined,
    jobFailedByCrashes: () => undefined,
    jobBlocked: () => undefined,
    startsForgotten: () => undefined,
    startsPlanned: () => undefined,
    workerStruck: () => undefined,
    jobRefused: () => undefined,
    runMoved: () => undefined,
    jobOverlong: () => undefined,
  });
  dispatcher.setWorkers([createWorker('w1')], 0);
  dispatcher.confirmWorkerList();
  pollAllWorkers(dispatcher, 0);
  return {dispatcher, lines};
}

/** Starts the tasks of one job on the worker. */
function startJob(dispatcher: Dispatcher, tasks: number): void {
  dispatcher.submit(createJob('a', tasks, longDeadline), false, 0);
  const starts = dispatcher
    .tick(0)
    .filter((command): command is StartCommand => command.kind === 'start');
  assert.equal(starts.length, tasks);
  for (const {run} of starts) {
    dispatcher.recordLease('w1', 0);
    dispatcher.handleStartAnswer(run, StartAnswer.Started, 1);
  }
}

test('runs lost with a worker that refuses connections are told from those on a silent worker', () => {
  const {NotListening, Unanswered} = WorkerRequestFailure;
  for (const failure of [NotListening, Unanswered]) {
    const {dispatcher, lines} = createLoggingDispatcher();
    startJob(dispatcher, 2);
    dispatcher.handlePollFailure('w1', failure, 1);
    dispatcher.tick(AFTER_LEASE_MS);
    const cause = failure === NotListening ? 'not_listening' : 'unresponsive';
    assert.deepEqual(lines, [
      `a.0.0.0 ${cause} shared`,
      `a.0.0.1 ${cause} shared`,
    ]);
  }
});

test('a worker that answers again after it lost runs is reported as restarted or not', () => {
  for (const bornAt of [1, 2]) {
    const {dispatcher, lines} = createLoggingDispatcher();
    startJob(dispatcher, 1);
    dispatcher.handlePollFailure('w1', WorkerRequestFailure.NotListening, 1);
    dispatcher.tick(AFTER_LEASE_MS);
    dispatcher.handleReport('w1', createReport([], [], bornAt), 1_500, 1_501);
    assert.deepEqual(lines, [
      'a.0.0.0 not_listening',
      `w1 restarted: ${bornAt === 2}, lost a.0.0.0`,
    ]);
  }
});

test('a run that the next incarnation does not report is lost by a restart', () => {
  const {dispatcher, lines} = createLoggingDispatcher();
  startJob(dispatcher, 1);
  dispatcher.handleReport('w1', createReport([], [], 2), 100, 101);
  assert.deepEqual(lines, ['a.0.0.0 restarted']);
});
