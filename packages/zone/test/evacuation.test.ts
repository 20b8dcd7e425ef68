import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StartAnswer, type StartCommand} from '@goldcrestpier/dispatch';
import {readClock, sleep, type Millis} from '@goldcrestpier/runtime';
import {CommandSender} from '../src/holder/command_sender.js';
import {EvacuationState} from '../src/holder/evacuation_state.js';
import {toSubmission} from '../src/holder/job_conversion.js';
import {LostResponses} from '../src/holder/lost_responses.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {StartRequest} from '../src/ports/index.js';
import type {TaskDelegation} from '../src/protocol/index.js';
import {ControlledHolder} from './fixtures/controlled_holder.js';
import {
  createDispatcher,
  createJob,
  dispatchOptions,
  failOnCall,
  noopLogger,
} from './fixtures/dispatcher.js';

/** Time after which a holder has placed what it can, in ms. */
const PLACED_MS = 80;

/** What a test's holder knows of the evacuation. */
interface Knowledge {
  isKnown: boolean;
  isActive: boolean;
}

function createSource(knowledge: Knowledge) {
  return {isKnown: () => knowledge.isKnown, isActive: () => knowledge.isActive};
}

interface SenderFixture {
  readonly sent: readonly StartRequest[];
  readonly start: () => Promise<void>;
}

/** Creates a command sender with a task to start on the only worker. */
function createSender(
  knowledge: Knowledge,
  {onSent, onConfirm}: {onSent?: () => void; onConfirm?: () => void},
): SenderFixture {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  dispatcher.submit(createJob('a', 1, now), false, now);
  const [command] = dispatcher.tick(now) as StartCommand[];
  assert.ok(command !== undefined);
  const sent: StartRequest[] = [];
  const shared = {
    dispatcher,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    zone: 'z',
  };
  const evacuation = createSource(knowledge);
  const sender = new CommandSender({
    ...shared,
    token: 7,
    dispatchOptions,
    workerPort: {
      start: request => {
        sent.push(request);
        onSent?.();
        const {Unanswered, NotSent} = StartAnswer;
        const answer = request.isWanted() ? Unanswered : NotSent;
        return Promise.resolve({answer, clockMs: undefined});
      },
      stop: failOnCall,
      poll: failOnCall,
      lastDisconnectAt: failOnCall,
    },
    lostResponses: new LostResponses(),
    processes: {
      isConfirmed: () => onConfirm === undefined,
      confirm: () => {
        onConfirm?.();
        return Promise.resolve(true);
      },
    },
    evacuation: new EvacuationState({...shared, evacuation}),
    isActive: () => true,
    onCommand: () => undefined,
    onChange: () => undefined,
    onFenced: failOnCall,
  });
  return {sent, start: () => sender.start(command)};
}

// Guards against a start that waits for the poll of its worker.
test('EVAC: a start that waits to be sent is not sent', async () => {
  const knowledge = {isKnown: true, isActive: false};
  const onConfirm = () => (knowledge.isActive = true);
  const {sent, start} = createSender(knowledge, {onConfirm});
  await start();
  assert.equal(sent.length, 0);
});

// Guards against a start that waits for other requests to its worker.
test('EVAC: a start that waits for its turn is not wanted any more', async () => {
  const knowledge = {isKnown: true, isActive: false};
  const onSent = () => (knowledge.isActive = true);
  const {sent, start} = createSender(knowledge, {onSent});
  await start();
  assert.equal(sent.length, 1);
  assert.equal(sent[0]?.isWanted(), false);
});

// Guards against a start command that is repeated until it is answered.
test('EVAC: an unanswered start is not repeated', async () => {
  const knowledge = {isKnown: true, isActive: false};
  const {sent, start} = createSender(knowledge, {});
  const isStarted = start();
  while (sent.length < 2) await sleep(1);
  knowledge.isActive = true;
  const before = sent.length;
  await isStarted;
  assert.equal(sent.length, before);
});

/** Submits a job to a holder; returns how many starts its worker gets. */
async function countStarts(
  knowledge: Knowledge,
  run: (holder: ControlledHolder['holder'], now: Millis) => Promise<unknown>,
): Promise<number> {
  let starts = 0;
  const {holder, lifecycle} = new ControlledHolder({
    evacuation: createSource(knowledge),
    start: () => {
      starts += 1;
      return Promise.resolve({answer: StartAnswer.Started, clockMs: 5});
    },
  });
  try {
    await sleep(PLACED_MS);
    await run(holder, readClock());
    await sleep(PLACED_MS);
  } finally {
    void lifecycle.close();
  }
  return starts;
}

// Guards against a holder that acts on the state of its last step.
test('EVAC: a job that comes as the evacuation is known is refused at once', async () => {
  const knowledge = {isKnown: true, isActive: false};
  const starts = await countStarts(knowledge, async (holder, now) => {
    knowledge.isActive = true;
    const job = createJob('a', 1, now);
    const answer = await holder.submit(toSubmission(job, 'o', false, now));
    assert.equal(answer.kind, 'refused');
  });
  assert.equal(starts, 0);
});

// Guards against a start for a zone that has not heard of the evacuation.
test('EVAC: a delegated task is refused as soon as the evacuation is known', async () => {
  const knowledge = {isKnown: true, isActive: false};
  const starts = await countStarts(knowledge, async (holder, now) => {
    knowledge.isActive = true;
    const message: TaskDelegation = {
      homeZone: 'west',
      token: 3,
      job: toSubmission(createJob('a', 1, now), 'west', false, now),
      step: 0,
      index: 0,
      run: 1,
      isJoin: false,
    };
    const answer = await holder.runDelegatedTask(message);
    assert.equal(answer.kind, 'refused');
    assert.deepEqual(holder.findFreeCapacity(), [
      {service: 'pricing', vacancies: []},
    ]);
  });
  assert.equal(starts, 0);
});

// Guards against starts of a new holder before it has read the operator's keys.
test('EVAC: a holder that does not know whether its zone is evacuated starts nothing', async () => {
  const knowledge = {isKnown: false, isActive: false};
  const starts = await countStarts(knowledge, (holder, now) => {
    const job = createJob('a', 1, now);
    void holder.submit(toSubmission(job, 'o', false, now));
    return Promise.resolve();
  });
  assert.equal(starts, 0);
});
