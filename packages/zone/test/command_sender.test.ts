import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RunPhase,
  StartAnswer,
  type Dispatcher,
  type StartCommand,
} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {LostResponses} from '../src/holder/lost_responses.js';
import {CommandSender} from '../src/holder/command_sender.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {StartRequest, WorkerPort} from '../src/ports/index.js';
import {
  dispatchOptions,
  createDispatcher,
  createJob,
  failOnCall,
  noopLogger,
  worker,
} from './fixtures/dispatcher.js';

interface SenderFixture {
  readonly dispatcher: Dispatcher;
  readonly commandSender: CommandSender;
  readonly command: StartCommand;
  readonly requests: readonly StartRequest[];
}

/** Creates a command sender; its worker gives these answers to start requests. */
function createFixture(
  answers: readonly StartAnswer[],
  {isActive = true} = {},
): SenderFixture {
  const arrivedAt = readClock();
  const dispatcher = createDispatcher(arrivedAt);
  dispatcher.submit(createJob('a', 1, arrivedAt), false, arrivedAt);
  const [command] = dispatcher.tick(arrivedAt);
  assert.ok(command?.kind === 'start');
  const {Unanswered, NotSent} = StartAnswer;
  const sent: StartRequest[] = [];
  const workerPort: Pick<WorkerPort, 'start'> = {
    start: request => {
      sent.push(request);
      const answer = answers[sent.length - 1] ?? StartAnswer.Rejected;
      const isAnswered = answer !== Unanswered && answer !== NotSent;
      return Promise.resolve({answer, clockMs: isAnswered ? 5 : undefined});
    },
  };
  const commandSender = new CommandSender({
    token: 7,
    dispatchOptions,
    workerPort: {
      ...workerPort,
      stop: failOnCall,
      poll: failOnCall,
      lastDisconnectAt: failOnCall,
    },
    dispatcher,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    lostResponses: new LostResponses(),
    processes: {isConfirmed: () => true, confirm: failOnCall},
    evacuation: {withholds: () => false},
    isActive: () => isActive,
    onCommand: () => undefined,
    onChange: () => undefined,
    onFenced: () => undefined,
  });
  return {dispatcher, commandSender, command, requests: sent};
}

test('an unanswered start request is retried with the same run number', async () => {
  const {commandSender, command, requests} = createFixture([
    StartAnswer.Unanswered,
    StartAnswer.Started,
  ]);
  await commandSender.start(command);
  assert.deepEqual(
    requests.map(({run}) => run.number),
    [1, 1],
  );
  assert.equal(command.run.phase, RunPhase.Running);
});

test('a run that ended before the retried request arrived counts as started', async () => {
  const {commandSender, command} = createFixture([
    StartAnswer.Unanswered,
    StartAnswer.StaleRun,
  ]);
  await commandSender.start(command);
  assert.equal(command.run.phase, RunPhase.Running);
});

test('a start request is repeated until it is answered, each time with a lease from then on', async () => {
  const {Unanswered, NotSent, Started} = StartAnswer;
  const answers = [Unanswered, Unanswered, NotSent, Unanswered, Started];
  const {commandSender, command, requests} = createFixture(answers);
  await commandSender.start(command);
  assert.equal(requests.length, answers.length);
  assert.equal(command.run.phase, RunPhase.Running);
  const leases = requests.map(({leaseUntil}) => leaseUntil);
  assert.ok((leases.at(-1) ?? 0) >= (leases[0] ?? 0) + 40);
});

test('a start request is not repeated when its job has been cancelled', async () => {
  const fixture = createFixture([StartAnswer.Unanswered]);
  const {commandSender, command, requests, dispatcher} = fixture;
  const isSent = commandSender.start(command);
  dispatcher.cancel('a', AbandonReason.Cancelled, readClock());
  await isSent;
  assert.equal(requests.length, 1);
  assert.equal(command.run.phase, RunPhase.Stopping);
});

test('a start request is not repeated by an instance that is no longer the holder', async () => {
  const {commandSender, command, requests} = createFixture(
    [StartAnswer.Unanswered],
    {isActive: false},
  );
  await commandSender.start(command);
  assert.equal(requests.length, 1);
});

// Guards against two runs, one of them started late by a restarted worker.
test('a run whose start request was repeated is not replaced when its worker has restarted', async () => {
  const fixture = createFixture([StartAnswer.Unanswered, StartAnswer.Started]);
  const {commandSender, command, dispatcher} = fixture;
  await commandSender.start(command);
  const now = readClock();
  const report = {clockMs: 5, bornAt: 2, running: [], ended: []};
  dispatcher.handleReport(command.run.workerId, report, now, now);
  dispatcher.setWorkers([{...worker, bornAt: 2}], now);
  assert.deepEqual(dispatcher.tick(now), []);
  assert.equal(dispatcher.takeEndedJobs().length, 1);
});

test('responses count as widely lost when those of several workers are lost', () => {
  const lostResponses = new LostResponses();
  lostResponses.recordLoss('w1', 0);
  lostResponses.recordLoss('w1', 100);
  assert.equal(lostResponses.isWidespread(200, 33), false);
  lostResponses.recordLoss('w2', 300);
  assert.equal(lostResponses.isWidespread(400, 33), true);
  assert.equal(lostResponses.isWidespread(1_200, 33), false);
});

test('a run is stopped when its start request stays unanswered and the retry is refused', async () => {
  const phases: RunPhase[] = [];
  for (const refusal of [
    StartAnswer.NoRoom,
    StartAnswer.Unavailable,
    StartAnswer.Rejected,
  ]) {
    const {commandSender, command} = createFixture([
      StartAnswer.Unanswered,
      refusal,
    ]);
    await commandSender.start(command);
    phases.push(command.run.phase);
  }
  const {Stopping} = RunPhase;
  assert.deepEqual(phases, [Stopping, Stopping, Stopping]);
});

test('a retried start request that is too late does not settle the first request', async () => {
  const {commandSender, command} = createFixture([
    StartAnswer.Unanswered,
    StartAnswer.Late,
  ]);
  await commandSender.start(command);
  assert.equal(command.run.phase, RunPhase.Stopping);
});

// Guards against stops of runs that were never started, beside the next start.
test('a start request that was not sent is neither retried nor stopped', async () => {
  const {commandSender, command, requests} = createFixture([
    StartAnswer.NotSent,
  ]);
  await commandSender.start(command);
  assert.equal(requests.length, 1);
  assert.equal(command.run.phase, RunPhase.Starting);
});
