import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readClock} from '@goldcrestpier/runtime';
import {Err} from 'ts-results-es';
import {AnswerLosses} from '../src/holder/answer_losses.js';
import {WorkerWatch} from '../src/holder/worker_watch.js';
import {OrderFailure, type LookOrder} from '../src/ports/index.js';
import {
  createDispatcher,
  createJob,
  fail,
  quiet,
  worker,
} from './fixtures/scene.js';

/** The first looks at a worker that runs a task of 200 ms and never answers. */
async function watchSilent(
  losses: AnswerLosses,
  count: number,
): Promise<LookOrder[]> {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  dispatcher.submit(createJob('a', 1, now), false, now);
  dispatcher.tick(now);
  const controller = new AbortController();
  const orders: LookOrder[] = [];
  const look = (order: LookOrder) => {
    orders.push(order);
    if (orders.length === count) controller.abort();
    return Promise.resolve(Err(OrderFailure.Unanswered));
  };
  const watch = new WorkerWatch({
    workerId: worker.id,
    token: 7,
    dispatcher,
    port: {look, start: fail, stop: fail},
    losses,
    onChange: () => undefined,
    onFenced: fail,
    onLookFailed: (id, failure) => quiet.warn('look failed', {id, failure}),
  });
  await watch.run(controller.signal);
  return orders;
}

test('a look waits for an end while answers come', async () => {
  const [first] = await watchSilent(new AnswerLosses(), 1);
  assert.equal(first?.waitMs, 400);
  assert.equal(first.marginMs, 250);
});

test('a look waits no longer than the next end while answers get lost', async () => {
  const losses = new AnswerLosses();
  for (const id of ['w2', 'w3']) losses.note(id, readClock());
  const [first] = await watchSilent(losses, 1);
  assert.ok(first !== undefined && first.waitMs <= 230);
  assert.equal(first.marginMs, 80);
});

test('a worker that lost a look is asked again without a wait', async () => {
  const losses = new AnswerLosses();
  for (const id of ['w2', 'w3']) losses.note(id, readClock());
  const [, second] = await watchSilent(losses, 2);
  assert.equal(second?.waitMs, 0);
});

test('a worker that stays silent loses one answer, not one with each look', async () => {
  const losses = new AnswerLosses();
  const noted: string[] = [];
  losses.note = workerId => noted.push(workerId);
  await watchSilent(losses, 3);
  assert.deepEqual(noted, [worker.id]);
});

test('more workers must have lost answers where there are many', () => {
  const losses = new AnswerLosses();
  for (const id of ['w1', 'w2', 'w3']) losses.note(id, 0);
  assert.equal(losses.areMany(10, 33), true);
  assert.equal(losses.areMany(10, 120), false);
});
