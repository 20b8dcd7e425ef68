import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RunPhase,
  StartAnswer,
  type StartCommand,
} from '@goldcrestpier/dispatch';
import {AnswerLosses} from '../src/holder/answer_losses.js';
import {Carrier} from '../src/holder/carrier.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {StartOrder, WorkerPort} from '../src/ports/index.js';
import {
  bounds,
  createDispatcher,
  createJob,
  fail,
  quiet,
} from './fixtures/scene.js';

interface Scene {
  readonly carrier: Carrier;
  readonly command: StartCommand;
  readonly sent: readonly StartOrder[];
}

/** A carrier whose worker gives these answers to orders to start. */
function createScene(answers: readonly StartAnswer[]): Scene {
  const dispatcher = createDispatcher(0);
  dispatcher.submit(createJob('a', 1, 1), false, 1);
  const [command] = dispatcher.tick(1);
  assert.ok(command?.kind === 'start');
  const sent: StartOrder[] = [];
  const port: Pick<WorkerPort, 'start'> = {
    start: order => {
      sent.push(order);
      const answer = answers[sent.length - 1] ?? StartAnswer.Rejected;
      return Promise.resolve({answer, clockMs: 5});
    },
  };
  const carrier = new Carrier({
    token: 7,
    bounds,
    port: {...port, stop: fail, look: fail},
    dispatcher,
    logger: quiet,
    metrics: new ZoneMetrics(),
    losses: new AnswerLosses(),
    onOrder: () => undefined,
    onChange: () => undefined,
    onFenced: () => undefined,
  });
  return {carrier, command, sent};
}

test('an order to start without an answer is sent again as it was', async () => {
  const {carrier, command, sent} = createScene([
    StartAnswer.Unanswered,
    StartAnswer.Started,
  ]);
  await carrier.start(command);
  assert.deepEqual(
    sent.map(({run}) => run.run),
    [1, 1],
  );
  assert.equal(command.run.phase, RunPhase.Running);
});

test('a run that had ended before its order came again has started', async () => {
  const {carrier, command} = createScene([
    StartAnswer.Unanswered,
    StartAnswer.OldRun,
  ]);
  await carrier.start(command);
  assert.equal(command.run.phase, RunPhase.Running);
});

test('a run is stopped when both orders stay without an answer', async () => {
  const {carrier, command, sent} = createScene([
    StartAnswer.Unanswered,
    StartAnswer.Unanswered,
  ]);
  await carrier.start(command);
  assert.equal(sent.length, 2);
  assert.equal(command.run.phase, RunPhase.Stopping);
});

test('lost answers count as many when several workers lose one', () => {
  const losses = new AnswerLosses();
  losses.note('w1', 0);
  losses.note('w1', 100);
  assert.equal(losses.areMany(200, 33), false);
  losses.note('w2', 300);
  assert.equal(losses.areMany(400, 33), true);
  assert.equal(losses.areMany(1_200, 33), false);
});

test('an order that may still be carried out is stopped, however the next is refused', async () => {
  const phases: RunPhase[] = [];
  for (const refusal of [
    StartAnswer.NoRoom,
    StartAnswer.Unavailable,
    StartAnswer.Rejected,
  ]) {
    const {carrier, command} = createScene([StartAnswer.Unanswered, refusal]);
    await carrier.start(command);
    phases.push(command.run.phase);
  }
  const {Stopping} = RunPhase;
  assert.deepEqual(phases, [Stopping, Stopping, Stopping]);
});

test('a second order that comes too late says nothing of the first', async () => {
  const {carrier, command} = createScene([
    StartAnswer.Unanswered,
    StartAnswer.Late,
  ]);
  await carrier.start(command);
  assert.equal(command.run.phase, RunPhase.Stopping);
});
