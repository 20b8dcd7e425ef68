import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonReason, type Dispatcher} from '@goldcrestpier/dispatch';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {LostResponses} from '../src/holder/lost_responses.js';
import {WorkerPoller} from '../src/holder/worker_poller.js';
import {
  createDispatcher,
  createJob,
  failOnCall,
  worker,
} from './fixtures/dispatcher.js';

/** Collects the leases that polls give to a worker with one permanent run. */
async function collectLeases(
  dispatcher: Dispatcher,
  count: number,
): Promise<(Millis | undefined)[]> {
  const controller = new AbortController();
  const leases: (Millis | undefined)[] = [];
  const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
  const poller = new WorkerPoller({
    workerId: worker.id,
    token: 7,
    dispatcher,
    workerPort: {
      poll: ({leaseUntil}) => {
        leases.push(leaseUntil);
        if (leases.length === count) controller.abort();
        return Promise.resolve(Ok({clockMs: 5, bornAt: 1, running, ended: []}));
      },
      start: failOnCall,
      stop: failOnCall,
      lastDisconnectAt: failOnCall,
    },
    lostResponses: new LostResponses(),
    watch: {mayCommandsArrive: () => false},
    onChange: () => undefined,
    onFenced: failOnCall,
    onPollFailed: failOnCall,
  });
  await poller.run(controller.signal);
  return leases;
}

test('a worker gets no new lease when all its runs have to be stopped', async () => {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  dispatcher.submit(createJob('a', 1, now), false, now);
  dispatcher.tick(now);
  dispatcher.cancel('a', AbandonReason.OwnerLost, now);
  assert.deepEqual(await collectLeases(dispatcher, 2), [undefined, undefined]);
});

test('a run that no job claimed in time gets no new lease', async () => {
  const heldSince = readClock() - 600;
  const dispatcher = createDispatcher(heldSince);
  const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
  const status = {clockMs: 5, bornAt: 1, running, ended: []};
  dispatcher.handleReport(worker.id, status, heldSince, heldSince);
  assert.deepEqual(await collectLeases(dispatcher, 2), [undefined, undefined]);
});
