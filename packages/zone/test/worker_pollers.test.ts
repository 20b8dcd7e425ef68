import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import type {Dispatcher} from '@goldcrestpier/dispatch';
import {Lifecycle, readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {LostResponses} from '../src/holder/lost_responses.js';
import {WorkerPollers} from '../src/holder/worker_pollers.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {
  createDispatcher,
  failOnCall,
  noopLogger,
  worker,
} from './fixtures/dispatcher.js';

/** Counts the polls of an idle worker after this change of the list of workers. */
async function countPolls(
  changeList: (dispatcher: Dispatcher, updatePollers: () => void) => void,
): Promise<number> {
  const dispatcher = createDispatcher(readClock());
  const lifecycle = new Lifecycle('test');
  let pollCount = 0;
  const poll = () => {
    pollCount += 1;
    return Promise.resolve(Ok({clockMs: 5, bornAt: 2, running: [], ended: []}));
  };
  const pollers = new WorkerPollers({
    token: 7,
    dispatcher,
    workerPort: {
      poll,
      start: failOnCall,
      stop: failOnCall,
      lastDisconnectAt: failOnCall,
    },
    lostResponses: new LostResponses(),
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    lifecycle,
    onChange: () => undefined,
    onFenced: failOnCall,
  });
  pollers.updatePollers();
  await nextTurn();
  assert.equal(pollCount, 0);
  changeList(dispatcher, () => pollers.updatePollers());
  await nextTurn();
  await lifecycle.close();
  return pollCount;
}

test('an idle worker is polled when the list shows that it restarted', async () => {
  const pollCount = await countPolls((dispatcher, updatePollers) => {
    dispatcher.setWorkers([{...worker, bornAt: 2}], readClock());
    updatePollers();
  });
  assert.equal(pollCount, 1);
});

test('an idle worker that left the list is polled when it is listed again', async () => {
  const pollCount = await countPolls((dispatcher, updatePollers) => {
    dispatcher.setWorkers([], readClock());
    updatePollers();
    dispatcher.setWorkers([worker], readClock());
    updatePollers();
  });
  assert.equal(pollCount, 1);
});
