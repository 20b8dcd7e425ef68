import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import type {Dispatcher} from '@goldcrestpier/dispatch';
import {Lifecycle, readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {AnswerLosses} from '../src/holder/answer_losses.js';
import {WorkerWatches} from '../src/holder/worker_watches.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {
  bounds,
  createDispatcher,
  fail,
  quiet,
  worker,
} from './fixtures/scene.js';

/** How often a quiet worker is looked at when the list changes like this. */
async function countLooks(
  change: (dispatcher: Dispatcher, watchAll: () => void) => void,
): Promise<number> {
  const dispatcher = createDispatcher(readClock());
  const lifecycle = new Lifecycle('test');
  let looks = 0;
  const look = () => {
    looks += 1;
    return Promise.resolve(Ok({clockMs: 5, bornAt: 2, running: [], ended: []}));
  };
  const watches = new WorkerWatches({
    token: 7,
    leaseMs: bounds.leaseMs,
    dispatcher,
    port: {look, start: fail, stop: fail},
    losses: new AnswerLosses(),
    logger: quiet,
    metrics: new ZoneMetrics(),
    lifecycle,
    onChange: () => undefined,
    onFenced: fail,
  });
  watches.watchAll();
  await nextTurn();
  assert.equal(looks, 0);
  change(dispatcher, () => watches.watchAll());
  await nextTurn();
  await lifecycle.close();
  return looks;
}

test('a quiet worker is looked at when the list tells of a new life', async () => {
  const looks = await countLooks((dispatcher, watchAll) => {
    dispatcher.setWorkers([{...worker, bornAt: 2}], readClock());
    watchAll();
  });
  assert.equal(looks, 1);
});

test('a quiet worker that left the list is looked at when it is back', async () => {
  const looks = await countLooks((dispatcher, watchAll) => {
    dispatcher.setWorkers([], readClock());
    watchAll();
    dispatcher.setWorkers([worker], readClock());
    watchAll();
  });
  assert.equal(looks, 1);
});
