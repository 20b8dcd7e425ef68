import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {
  TaskHistory,
  RunEnd,
  StartAnswer,
  type WorkerReport,
} from '@goldcrestpier/dispatch';
import {Lifecycle, readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {Holder} from '../src/holder/index.js';
import {createLocalHolderClient} from '../src/instance/holder_client.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {Owner} from '../src/owner/index.js';
import type {WorkerPort} from '../src/ports/index.js';
import {
  dispatchOptions,
  createJob,
  failOnCall,
  noopLogger,
  worker,
} from './fixtures/dispatcher.js';

const OWNER_ID = 'owner';
const idleReport: WorkerReport = {
  clockMs: 5,
  bornAt: 1,
  running: [],
  ended: [],
};

/** Creates an owner and its local holder; the worker returns `endReport` once. */
function createOwner(
  lifecycle: Lifecycle,
  endReport: Promise<WorkerReport>,
): Owner {
  let pollCount = 0;
  const workerPort: WorkerPort = {
    lastDisconnectAt: () => -Infinity,
    start: () => Promise.resolve({answer: StartAnswer.Started, clockMs: 5}),
    stop: () => Promise.resolve(Ok(undefined)),
    poll: async (_order, signal) => {
      pollCount += 1;
      if (pollCount === 1) return Ok(idleReport);
      const aborted = new Promise<WorkerReport>(resolve => {
        signal.addEventListener('abort', () => resolve(idleReport));
      });
      return Ok(await Promise.race([endReport, aborted]));
    },
  };
  const metrics = new ZoneMetrics();
  const holder = new Holder({
    zone: 'z',
    history: new TaskHistory(),
    findZoneClient: () => undefined,
    token: 7,
    dispatchOptions,
    workerPort,
    logger: noopLogger,
    metrics,
    lifecycle,
    onFenced: failOnCall,
  });
  const asOf = readClock();
  holder.setWorkers({workers: [worker], asOf, isReachable: true});
  return new Owner({
    history: new TaskHistory(),
    selfId: OWNER_ID,
    findHolder: () => createLocalHolderClient(holder, OWNER_ID),
    waitForHolderChange: () => new Promise(() => undefined),
    isAlive: () => true,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics,
  });
}

test('a caller that disconnects does not cancel the job for one that sent it again', async () => {
  const lifecycle = new Lifecycle('test');
  let sendReport: (status: WorkerReport) => void = failOnCall;
  const endReport = new Promise<WorkerReport>(
    resolve => (sendReport = resolve),
  );
  const owner = createOwner(lifecycle, endReport);
  await nextTurn();
  const job = createJob('a', 1, readClock());
  const first = new AbortController();
  void owner.run(job, first.signal);
  const answer = owner.run(job, new AbortController().signal);
  for (let turn = 0; turn < 5; turn += 1) await nextTurn();
  first.abort();
  await nextTurn();
  const task = 'a.0.0.0';
  sendReport({
    ...idleReport,
    ended: [{sequence: 1, task, run: 1, end: RunEnd.Done}],
  });
  const {kind} = await answer;
  void lifecycle.close();
  assert.equal(kind, 'completed');
});

test('an abandoned job ends for each caller that waits for it on this instance', async () => {
  const lifecycle = new Lifecycle('test');
  const owner = createOwner(lifecycle, new Promise(() => undefined));
  await nextTurn();
  const job = createJob('a', 1, readClock());
  const callers = [1, 2].map(() =>
    owner.run(job, new AbortController().signal),
  );
  for (let turn = 0; turn < 5; turn += 1) await nextTurn();
  assert.equal(owner.hasCallers('a'), true);
  assert.equal(owner.cancelForAllCallers('a'), true);
  const answers = await Promise.all(callers);
  void lifecycle.close();
  assert.deepEqual(
    answers.map(({kind}) => kind),
    ['abandoned', 'abandoned'],
  );
  assert.equal(owner.cancelForAllCallers('a'), false);
});
