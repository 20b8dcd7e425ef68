import assert from 'node:assert/strict';
import {AbandonReason, TaskHistory} from '@goldcrestpier/dispatch';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {ZoneMetrics} from '../src/metrics/index.js';
import {
  Owner,
  type HolderClient,
  type OwnerOptions,
} from '../src/owner/index.js';
import type {JobAnswer, JobSubmission} from '../src/protocol/index.js';
import {createJob, noopLogger} from './fixtures/dispatcher.js';
import {testInSimulatedTime as test} from './simulation/simulated_time.js';

/** Time limit of the jobs in these tests, in ms. */
const TIME_LIMIT_MS = 100;

function createOwner(
  holder: HolderClient,
  options: Partial<OwnerOptions> = {},
): Owner {
  return new Owner({
    selfId: 'owner',
    history: new TaskHistory(),
    findHolder: () => holder,
    waitForHolderChange: () => new Promise(() => undefined),
    isAlive: () => true,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    ...options,
  });
}

test('a cancellation that no holder accepts in time is repeated past the deadline of its job', async () => {
  let cancelCount = 0;
  const owner = createOwner({
    id: 'holder',
    submit: () => new Promise(() => undefined),
    cancel: () => {
      cancelCount += 1;
      return Promise.resolve(cancelCount > 8);
    },
  });
  const now = readClock();
  const job = {...createJob('a', 1, now), deadlineAt: now + TIME_LIMIT_MS};
  const controller = new AbortController();
  void owner.run(job, controller.signal);
  await sleep(50);
  controller.abort();
  await sleep(400);
  assert.equal(cancelCount, 9);
});

test('a caller whose holder steps down at the deadline is not told 504 while runs go on', async () => {
  const state = {
    kind: 'running',
    run: 1,
    workerId: 'w1',
    tookMs: 100,
  } as const;
  const task = {key: 'a.0.0.0', lastRun: 1, failures: 0, state};
  const answer: JobAnswer = {
    kind: 'not_holder',
    mayHaveStarted: true,
    progress: {isComplete: true, tasks: [task]},
  };
  const owner = createOwner({
    id: 'holder',
    submit: async () => {
      await sleep(TIME_LIMIT_MS + 20);
      return Ok(answer);
    },
    cancel: () => Promise.resolve(true),
  });
  const now = readClock();
  const job = {...createJob('a', 1, now), deadlineAt: now + TIME_LIMIT_MS};
  await owner.run(job, new AbortController().signal);
  assert.ok(readClock() - now > 300);
});

test('a caller whose holder steps down at the deadline is answered when the next one has stopped its runs', async () => {
  const progress = {isComplete: true, tasks: []};
  const notHolder = {
    kind: 'not_holder',
    mayHaveStarted: true,
    progress,
  } as const;
  const abandoned = {
    kind: 'abandoned',
    reason: AbandonReason.Deadline,
  } as const;
  const received: JobSubmission[] = [];
  const owner = createOwner({
    id: 'holder',
    submit: async message => {
      received.push(message);
      await sleep(TIME_LIMIT_MS + 20);
      return Ok(received.length === 1 ? notHolder : abandoned);
    },
    cancel: () => Promise.resolve(true),
  });
  const now = readClock();
  const job = {...createJob('a', 1, now), deadlineAt: now + TIME_LIMIT_MS};
  const answer = await owner.run(job, new AbortController().signal);
  assert.deepEqual(answer, abandoned);
  assert.deepEqual(received[1]?.progress, progress);
});

test('a holder that follows while the runs of a cancelled job are being stopped is told to stop them', async () => {
  const cancelledAt: string[] = [];
  const createHolder = (id: string): HolderClient => ({
    id,
    submit: () => new Promise(() => undefined),
    cancel: () => {
      cancelledAt.push(id);
      return Promise.resolve(true);
    },
  });
  const holders = [createHolder('first'), createHolder('second')];
  const findHolder = () => holders[Math.min(cancelledAt.length, 1)];
  const waitForHolderChange = (from: string) =>
    from === 'first' ? sleep(20) : new Promise<void>(() => undefined);
  const owner = createOwner(createHolder('none'), {
    findHolder,
    waitForHolderChange,
  });
  const now = readClock();
  const controller = new AbortController();
  void owner.run(createJob('a', 1, now), controller.signal);
  controller.abort();
  await sleep(600);
  assert.deepEqual(cancelledAt, ['first', 'second']);
});
