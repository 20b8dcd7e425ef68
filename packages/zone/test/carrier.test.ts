import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Dispatcher,
  RunPhase,
  StartAnswer,
  type Job,
  type StartCommand,
  type Worker,
} from '@goldcrestpier/dispatch';
import type {Logger} from '@goldcrestpier/runtime';
import {AnswerLosses} from '../src/holder/answer_losses.js';
import {Carrier} from '../src/holder/carrier.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {StartOrder, WorkerPort} from '../src/ports/index.js';

const bounds = {leaseMs: 1_000, stopMs: 50};

const worker: Worker = {
  id: 'w1',
  service: 'pricing',
  zone: 'z',
  address: 'w1:1',
  capacity: {cpuMillis: 64_000, memoryMb: 1_000, accelerators: 0},
  labels: [],
  isDraining: false,
  bornAt: 1,
};

const job: Job = {
  id: 'a',
  queue: 'quotes',
  service: 'pricing',
  priority: 0,
  maxAttempts: 2,
  stretch: 1.6,
  targetMs: 60,
  payload: '',
  steps: [
    {
      tasks: 1,
      need: {cpuMillis: 27_000, memoryMb: 64, accelerators: 0},
      estimateMs: 200,
      after: [],
    },
  ],
  arrivedAt: 0,
  deadlineAt: 1_500,
};

const quiet: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

interface Scene {
  readonly carrier: Carrier;
  readonly command: StartCommand;
  readonly sent: readonly StartOrder[];
}

/** A carrier whose worker gives these answers to orders to start. */
function createScene(answers: readonly StartAnswer[]): Scene {
  const observer = {runEnded: () => undefined, workerStruck: () => undefined};
  const dispatcher = new Dispatcher(bounds, 0, observer);
  dispatcher.setWorkers([worker], 0);
  const look = {clockMs: 5, bornAt: 1, running: [], ended: []};
  dispatcher.looked('w1', look, 0, 1);
  dispatcher.submit(job, false, 1);
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

function fail(): never {
  throw new Error('not expected');
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
  assert.equal(losses.areMany(200), false);
  losses.note('w2', 300);
  assert.equal(losses.areMany(400), true);
  assert.equal(losses.areMany(1_200), false);
});
