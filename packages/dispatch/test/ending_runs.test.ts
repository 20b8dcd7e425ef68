import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  Dispatcher,
  RunEnd,
  StartAnswer,
  TaskHistory,
  WorkerRequestFailure,
} from '../src/index.js';
import {
  createJob,
  createReport,
  createWorker,
  formatCommands,
  noopObserver,
  options,
} from './fixtures/dispatcher_setup.js';

const {Unanswered} = WorkerRequestFailure;
/** A job that may wait for the end of earlier runs of it. */
const longTimes = {deadlineAt: 10_000, targetMs: 10_000};

/** Creates the holder of a zone with this worker, and one that is silent. */
function createHolder(workerId: string, history: TaskHistory, now: number) {
  const dispatcher = new Dispatcher(options, now, noopObserver, history);
  const workers = [createWorker('w1'), createWorker('w2')];
  dispatcher.setWorkers(workers, now);
  dispatcher.confirmWorkerList();
  for (const {id} of workers) {
    if (id === workerId) dispatcher.handleReport(id, createReport(), now, now);
    else dispatcher.handlePollFailure(id, Unanswered, now);
  }
  return dispatcher;
}

/** Creates a holder whose job runs on the worker and has been cancelled. */
function cancelStartedJob(history: TaskHistory): Dispatcher {
  const dispatcher = createHolder('w1', history, -10_000);
  dispatcher.submit(createJob('a', 1, longTimes), false, 0);
  const [command] = dispatcher.tick(0);
  assert.ok(command?.kind === 'start');
  dispatcher.handleStartAnswer(command.run, StartAnswer.Started, 1);
  dispatcher.cancel('a', AbandonReason.OwnerLost, 800);
  return dispatcher;
}

/** Lists the starts of the job that its caller sends again to the next holder. */
function listStarts(history: TaskHistory, until: number) {
  const sentAt = 1_500;
  const next = createHolder('w2', history, 1_000);
  next.delegationSurvey.expect(['east'], 1_000);
  next.submit(createJob('a', 1, longTimes), false, sentAt);
  return formatCommands([...next.tick(sentAt), ...next.tick(until)]);
}

test('a task that another zone may run for a cancelled job is not started by the next holder of its zone', () => {
  const history = new TaskHistory();
  const dispatcher = createHolder('none', history, -10_000);
  const vacancies = [{slowness: 1, cpuMillis: 64_000, memoryMb: 1_000}];
  const reported = {zone: 'east', service: 'pricing', vacancies};
  dispatcher.updateZoneVacancies(reported, 0);
  dispatcher.submit(createJob('a', 1, longTimes), false, 0);
  assert.deepEqual(formatCommands(dispatcher.tick(0)), [
    'delegate a.0.0.0/1 to east',
  ]);
  dispatcher.cancel('a', AbandonReason.OwnerLost, 800);
  dispatcher.recordOutstandingStarts(1_000);
  assert.deepEqual(listStarts(history, 2_990), []);
  assert.deepEqual(listStarts(history, 3_010), ['start a.0.0.0/1 on w2']);
});

test('a task that a silent worker may run for a cancelled job is not started by the next holder', () => {
  const history = new TaskHistory();
  const dispatcher = cancelStartedJob(history);
  dispatcher.recordOutstandingStarts(1_000);
  assert.deepEqual(listStarts(history, 2_640), []);
  assert.deepEqual(listStarts(history, 2_660), ['start a.0.0.0/1 on w2']);
});

test('a cancelled job whose run has ended is started by the next holder at once', () => {
  const history = new TaskHistory();
  const dispatcher = cancelStartedJob(history);
  const end = {sequence: 1, task: 'a.0.0.0', run: 1, end: RunEnd.Stopped};
  dispatcher.handleReport('w1', createReport([], [end]), 900, 900);
  dispatcher.recordOutstandingStarts(1_000);
  assert.deepEqual(listStarts(history, 1_500), ['start a.0.0.0/1 on w2']);
});
