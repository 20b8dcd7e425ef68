import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RunPhase,
  StartAnswer,
  type StartCommand,
} from '@goldcrestpier/dispatch';
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
} from './fixtures/dispatcher.js';

interface SenderFixture {
  readonly commandSender: CommandSender;
  readonly command: StartCommand;
  readonly requests: readonly StartRequest[];
}

/** Creates a command sender; its worker gives these answers to start requests. */
function createFixture(answers: readonly StartAnswer[]): SenderFixture {
  const dispatcher = createDispatcher(0);
  dispatcher.submit(createJob('a', 1, 1), false, 1);
  const [command] = dispatcher.tick(1);
  assert.ok(command?.kind === 'start');
  const sent: StartRequest[] = [];
  const workerPort: Pick<WorkerPort, 'start'> = {
    start: request => {
      sent.push(request);
      const answer = answers[sent.length - 1] ?? StartAnswer.Rejected;
      return Promise.resolve({answer, clockMs: 5});
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
    isActive: () => true,
    onCommand: () => undefined,
    onChange: () => undefined,
    onFenced: () => undefined,
  });
  return {commandSender, command, requests: sent};
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

test('a run is stopped when its start request and the retry stay unanswered', async () => {
  const {commandSender, command, requests} = createFixture([
    StartAnswer.Unanswered,
    StartAnswer.Unanswered,
  ]);
  await commandSender.start(command);
  assert.equal(requests.length, 2);
  assert.equal(command.run.phase, RunPhase.Stopping);
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
