import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RunPhase,
  StartAnswer,
  type StartCommand,
} from '@goldcrestpier/dispatch';
import {LostResponses} from '../src/holder/answer_losses.js';
import {CommandSender} from '../src/holder/command_sender.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {StartRequest, WorkerPort} from '../src/ports/index.js';
import {
  bounds,
  createDispatcher,
  createJob,
  failOnCall,
  noopLogger,
} from './fixtures/dispatcher.js';

interface CarrierFixture {
  readonly carrier: CommandSender;
  readonly command: StartCommand;
  readonly orders: readonly StartRequest[];
}

/** Creates a carrier whose worker gives these answers to start orders in turn. */
function createFixture(answers: readonly StartAnswer[]): CarrierFixture {
  const dispatcher = createDispatcher(0);
  dispatcher.submit(createJob('a', 1, 1), false, 1);
  const [command] = dispatcher.tick(1);
  assert.ok(command?.kind === 'start');
  const sent: StartRequest[] = [];
  const port: Pick<WorkerPort, 'start'> = {
    start: order => {
      sent.push(order);
      const answer = answers[sent.length - 1] ?? StartAnswer.Rejected;
      return Promise.resolve({answer, clockMs: 5});
    },
  };
  const carrier = new CommandSender({
    token: 7,
    bounds,
    port: {...port, stop: failOnCall, poll: failOnCall},
    dispatcher,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    lostResponses: new LostResponses(),
    onCommand: () => undefined,
    onChange: () => undefined,
    onFenced: () => undefined,
  });
  return {carrier, command, orders: sent};
}

test('an unanswered start order is sent again with the same run number', async () => {
  const {carrier, command, orders} = createFixture([
    StartAnswer.Unanswered,
    StartAnswer.Started,
  ]);
  await carrier.start(command);
  assert.deepEqual(
    orders.map(({run}) => run.number),
    [1, 1],
  );
  assert.equal(command.run.phase, RunPhase.Running);
});

test('a run that ended before the repeated order arrived counts as started', async () => {
  const {carrier, command} = createFixture([
    StartAnswer.Unanswered,
    StartAnswer.StaleRun,
  ]);
  await carrier.start(command);
  assert.equal(command.run.phase, RunPhase.Running);
});

test('a run is stopped when both start orders stay unanswered', async () => {
  const {carrier, command, orders} = createFixture([
    StartAnswer.Unanswered,
    StartAnswer.Unanswered,
  ]);
  await carrier.start(command);
  assert.equal(orders.length, 2);
  assert.equal(command.run.phase, RunPhase.Stopping);
});

test('answers count as widely lost when several workers lose one', () => {
  const losses = new LostResponses();
  losses.recordLoss('w1', 0);
  losses.recordLoss('w1', 100);
  assert.equal(losses.isWidespread(200, 33), false);
  losses.recordLoss('w2', 300);
  assert.equal(losses.isWidespread(400, 33), true);
  assert.equal(losses.isWidespread(1_200, 33), false);
});

test('an unanswered start order is followed by a stop, whatever refuses the second order', async () => {
  const phases: RunPhase[] = [];
  for (const refusal of [
    StartAnswer.NoRoom,
    StartAnswer.Unavailable,
    StartAnswer.Rejected,
  ]) {
    const {carrier, command} = createFixture([StartAnswer.Unanswered, refusal]);
    await carrier.start(command);
    phases.push(command.run.phase);
  }
  const {Stopping} = RunPhase;
  assert.deepEqual(phases, [Stopping, Stopping, Stopping]);
});

test('a second start order that is too late does not settle the first one', async () => {
  const {carrier, command} = createFixture([
    StartAnswer.Unanswered,
    StartAnswer.Late,
  ]);
  await carrier.start(command);
  assert.equal(command.run.phase, RunPhase.Stopping);
});
