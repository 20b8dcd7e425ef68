import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readClock} from '@goldcrestpier/runtime';
import {Err} from 'ts-results-es';
import {LostResponses} from '../src/holder/answer_losses.js';
import {WorkerPoller} from '../src/holder/worker_poller.js';
import {WorkerRequestFailure, type PollRequest} from '../src/ports/index.js';
import {
  createDispatcher,
  createJob,
  failOnCall,
  noopLogger,
  worker,
} from './fixtures/dispatcher.js';

/** Returns the first polls of a worker that runs a 200 ms task and never answers. */
async function pollSilentWorker(
  losses: LostResponses,
  count: number,
): Promise<PollRequest[]> {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  dispatcher.submit(createJob('a', 1, now), false, now);
  dispatcher.tick(now);
  const controller = new AbortController();
  const orders: PollRequest[] = [];
  const look = (order: PollRequest) => {
    orders.push(order);
    if (orders.length === count) controller.abort();
    return Promise.resolve(Err(WorkerRequestFailure.Unanswered));
  };
  const watch = new WorkerPoller({
    workerId: worker.id,
    token: 7,
    dispatcher,
    port: {poll: look, start: failOnCall, stop: failOnCall},
    lostResponses: losses,
    onChange: () => undefined,
    onFenced: failOnCall,
    onPollFailed: (id, failure) =>
      noopLogger.warn('poll failed', {id, failure}),
  });
  await watch.run(controller.signal);
  return orders;
}

test('a poll uses the long wait while no answers get lost', async () => {
  const [first] = await pollSilentWorker(new LostResponses(), 1);
  assert.equal(first?.waitMs, 400);
  assert.equal(first.marginMs, 250);
});

test('a poll waits only until the next expected end while answers get lost', async () => {
  const losses = new LostResponses();
  for (const id of ['w2', 'w3']) losses.recordLoss(id, readClock());
  const [first] = await pollSilentWorker(losses, 1);
  assert.ok(first !== undefined && first.waitMs <= 230);
  assert.equal(first.marginMs, 80);
});

test('a worker whose answer was lost is polled again without waiting for an end', async () => {
  const losses = new LostResponses();
  for (const id of ['w2', 'w3']) losses.recordLoss(id, readClock());
  const [, second] = await pollSilentWorker(losses, 2);
  assert.equal(second?.waitMs, 0);
});

test('a worker that stays silent counts as one lost answer, not one per poll', async () => {
  const losses = new LostResponses();
  const noted: string[] = [];
  losses.recordLoss = workerId => noted.push(workerId);
  await pollSilentWorker(losses, 3);
  assert.deepEqual(noted, [worker.id]);
});

test('the threshold of lost answers grows with the number of workers', () => {
  const losses = new LostResponses();
  for (const id of ['w1', 'w2', 'w3']) losses.recordLoss(id, 0);
  assert.equal(losses.isWidespread(10, 33), true);
  assert.equal(losses.isWidespread(10, 120), false);
});
