import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {after, test} from 'node:test';
import {Lifecycle} from '@goldcrestpier/runtime';
import {
  createWorkerClient,
  StartKind,
  type StartOutcome,
} from '../src/index.js';
import {openFakeServer, sendJson, waitUntil} from './fake_server.js';

const LONG_MS = 20_000;
const times = {leaseMs: 300, renewMs: 50};
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
  /** What each kind of request is answered with. */
  readonly answers: Record<string, (response: ServerResponse) => void>;
  readonly seen: string[];
  start(timeoutMs?: number, signal?: AbortSignal): Promise<StartOutcome>;
  close(): Promise<void>;
}

async function openFakeWorker(
  answers: FakeWorker['answers'],
): Promise<FakeWorker> {
  const seen: string[] = [];
  const server = await openFakeServer((request, response) => {
    const path = request.url?.split('?')[0] ?? '';
    seen.push(path);
    const answer = answers[path];
    if (answer !== undefined) answer(response);
  });
  return {
    answers,
    seen,
    start: (timeoutMs = LONG_MS, signal = new AbortController().signal) =>
      client.start(
        {name: 'w1', address: server.address},
        task,
        times,
        timeoutMs,
        signal,
      ),
    close: () => server.close(),
  };
}

const leased = {
  '/v1/leases': (response: ServerResponse) =>
    sendJson(response, 201, {lease: 'l1'}),
  '/v1/leases/l1/renew': (response: ServerResponse) =>
    sendJson(response, 200, {}),
};

test('a task is followed to its result and its lease renewed meanwhile', async () => {
  const worker = await openFakeWorker({
    ...leased,
    '/v1/leases/l1': response => {
      const renewed = worker.seen.filter(path => path.endsWith('/renew'));
      sendJson(
        response,
        200,
        renewed.length < 2
          ? {state: 'running'}
          : {
              state: 'done',
              result: 5,
              usage: {processors: 1, memoryMb: 2_000},
            },
      );
    },
  });
  const outcome = await worker.start();
  assert.equal(outcome.kind, StartKind.Done);
  assert.equal(outcome.result, 5);
  assert.equal(outcome.usage?.memoryMb, 2_000);
  await worker.close();
});

const refusals: Array<[number, unknown, StartKind]> = [
  [409, {code: 'busy'}, StartKind.Busy],
  [503, {code: 'leaving'}, StartKind.Leaving],
  [500, {code: 'failed', reason: 'no disk'}, StartKind.Failed],
  [201, {}, StartKind.Unknown],
];

for (const [status, body, kind] of refusals) {
  test(`${status} ${JSON.stringify(body)} to a lease is ${kind}`, async () => {
    const worker = await openFakeWorker({
      '/v1/leases': response => sendJson(response, status, body),
    });
    const outcome = await worker.start();
    assert.equal(outcome.kind, kind);
    await worker.close();
  });
}

test('a worker that forgot the lease has lost it', async () => {
  const worker = await openFakeWorker({
    ...leased,
    '/v1/leases/l1': response => sendJson(response, 404, {}),
  });
  assert.deepEqual(await worker.start(), {kind: StartKind.LeaseLost});
  await worker.close();
});

test('a worker that freezes after the start loses the lease', async () => {
  const worker = await openFakeWorker({'/v1/leases': leased['/v1/leases']});
  assert.deepEqual(await worker.start(), {kind: StartKind.LeaseLost});
  await worker.close();
});

test('a lost answer to a question is asked again', async () => {
  let asked = 0;
  const worker = await openFakeWorker({
    ...leased,
    '/v1/leases/l1': response => {
      asked += 1;
      if (asked === 1) return void response.socket?.destroy();
      sendJson(response, 200, {state: 'done', result: 'late'});
    },
  });
  const outcome = await worker.start();
  assert.equal(outcome.kind, StartKind.Done);
  await worker.close();
});

test('giving up asks the worker to stop', async () => {
  const worker = await openFakeWorker({...leased});
  const controller = new AbortController();
  const ended = worker.start(LONG_MS, controller.signal);
  await waitUntil(() => worker.seen.includes('/v1/leases/l1'));
  controller.abort();
  assert.deepEqual(await ended, {kind: StartKind.Stopped, sent: true});
  await waitUntil(() => worker.seen.includes('/v1/leases/l1/stop'));
  await worker.close();
});
