import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {after, test, type TestContext} from 'node:test';
import {Lifecycle} from '@goldcrestpier/runtime';
import {
  createWorkerClient,
  StartKind,
  type LeaseTimes,
  type StartOutcome,
} from '../src/index.js';
import {startFakeServer, sendJson, waitUntil} from './fake_server.js';

const LONG_TIMEOUT_MS = 20_000;
const leaseTimes = {leaseMs: 300, renewMs: 50};
/** A lease that outlasts pauses of the event loop on a busy machine. */
const longLeaseTimes = {leaseMs: LONG_TIMEOUT_MS, renewMs: 50};
const task = {
  job: 's/k',
  task: 's/k#0',
  needs: {processors: 2, memoryMb: 512, accelerators: 0},
  payload: 1,
};
const lifecycle = new Lifecycle('test');
const client = createWorkerClient({lifecycle});

after(() => lifecycle.close());

interface FakeWorker {
  /** Response handlers by request path. */
  readonly handlers: Record<string, (response: ServerResponse) => void>;
  readonly requestPaths: string[];
  start(options?: {
    times?: LeaseTimes;
    signal?: AbortSignal;
  }): Promise<StartOutcome>;
}

/** Starts a fake worker that is closed when the test ends, also if it fails. */
async function startFakeWorker(
  t: TestContext,
  handlers: FakeWorker['handlers'],
): Promise<FakeWorker> {
  const requestPaths: string[] = [];
  const server = await startFakeServer((request, response) => {
    const path = request.url?.split('?')[0] ?? '';
    requestPaths.push(path);
    const handleRequest = handlers[path];
    if (handleRequest !== undefined) handleRequest(response);
  });
  t.after(() => server.close());
  return {
    handlers: handlers,
    requestPaths: requestPaths,
    start: ({times = leaseTimes, signal = new AbortController().signal} = {}) =>
      client.start(
        {name: 'w1', address: server.address},
        task,
        times,
        LONG_TIMEOUT_MS,
        signal,
      ),
  };
}

const leaseHandlers = {
  '/v1/leases': (response: ServerResponse) =>
    sendJson(response, 201, {lease: 'l1'}),
  '/v1/leases/l1/renew': (response: ServerResponse) =>
    sendJson(response, 200, {}),
};

test('the lease is renewed until the task returns its result', async t => {
  const worker = await startFakeWorker(t, {
    ...leaseHandlers,
    '/v1/leases/l1': response => {
      const renewals = worker.requestPaths.filter(path =>
        path.endsWith('/renew'),
      );
      sendJson(
        response,
        200,
        renewals.length < 2
          ? {state: 'running'}
          : {
              state: 'done',
              result: 5,
              usage: {processors: 1, memoryMb: 2_000},
            },
      );
    },
  });
  const outcome = await worker.start({times: longLeaseTimes});
  assert.equal(outcome.kind, StartKind.Done);
  assert.equal(outcome.result, 5);
  assert.equal(outcome.usage?.memoryMb, 2_000);
});

const rejectionCases: Array<[number, unknown, StartKind]> = [
  [409, {code: 'busy'}, StartKind.Busy],
  [503, {code: 'leaving'}, StartKind.Leaving],
  [500, {code: 'failed', reason: 'no disk'}, StartKind.Failed],
  [201, {}, StartKind.Unknown],
];

for (const [status, body, kind] of rejectionCases) {
  test(`${status} ${JSON.stringify(body)} to a lease request maps to ${kind}`, async t => {
    const worker = await startFakeWorker(t, {
      '/v1/leases': response => sendJson(response, status, body),
    });
    const outcome = await worker.start();
    assert.equal(outcome.kind, kind);
  });
}

test('the lease is lost when the worker no longer knows it', async t => {
  const worker = await startFakeWorker(t, {
    ...leaseHandlers,
    '/v1/leases/l1': response => sendJson(response, 404, {}),
  });
  assert.deepEqual(await worker.start(), {kind: StartKind.LeaseLost});
});

test('the lease is lost when the worker stops responding after the start', async t => {
  const worker = await startFakeWorker(t, {
    '/v1/leases': leaseHandlers['/v1/leases'],
  });
  assert.deepEqual(await worker.start(), {kind: StartKind.LeaseLost});
});

test('a poll is retried when its response is lost', async t => {
  let polls = 0;
  const worker = await startFakeWorker(t, {
    ...leaseHandlers,
    '/v1/leases/l1': response => {
      polls += 1;
      if (polls === 1) return void response.socket?.destroy();
      sendJson(response, 200, {state: 'done', result: 'late'});
    },
  });
  const outcome = await worker.start();
  assert.equal(outcome.kind, StartKind.Done);
});

test('aborting a start asks the worker to stop the task', async t => {
  const worker = await startFakeWorker(t, {...leaseHandlers});
  const controller = new AbortController();
  const outcomePromise = worker.start({signal: controller.signal});
  await waitUntil(() => worker.requestPaths.includes('/v1/leases/l1'));
  controller.abort();
  assert.deepEqual(await outcomePromise, {kind: StartKind.Stopped, sent: true});
  await waitUntil(() => worker.requestPaths.includes('/v1/leases/l1/stop'));
});
