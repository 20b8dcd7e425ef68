import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {startWorker, type Standin, type WorkerOptions} from '../src/index.js';
import {createSend, openLifecycle, waitUntil} from './helpers.js';

/** Longer than any test of this file; the task ends when the worker closes. */
const ENDLESS_MS = 600_000;

const lifecycle = openLifecycle();
const send = createSend(lifecycle);

function startTestWorker(options: Partial<WorkerOptions> = {}) {
  return startWorker({name: 'w1', ...options}, lifecycle);
}

function openLease(worker: Standin, changes: object = {}) {
  return send('POST', worker.address, '/v1/leases', {
    job: 'job-1',
    task: 'a',
    processors: 4,
    memoryMb: 1000,
    accelerators: 0,
    leaseMs: ENDLESS_MS,
    payload: {},
    ...changes,
  });
}

async function openLeasePath(worker: Standin, changes: object = {}) {
  const {body} = await openLease(worker, changes);
  return `/v1/leases/${(body as {lease: string}).lease}`;
}

describe('a guarded worker', () => {
  test('runs a task under a lease and responds to the long poll when it ends', async () => {
    const worker = await startTestWorker();
    const payload = {runMs: 20, echo: 7, usesMemoryMb: 1500};
    const path = await openLeasePath(worker, {payload});
    const done = await send('GET', worker.address, `${path}?waitMs=20000`);
    assert.deepEqual(done.body, {
      state: 'done',
      result: {echo: 7, server: 'w1'},
      usage: {processors: 4, memoryMb: 1500, accelerators: 0},
    });
    assert.equal(worker.records.starts.length, 1);
    const failing = await openLeasePath(worker, {payload: {fail: true}});
    const failed = await send('GET', worker.address, `${failing}?waitMs=20000`);
    assert.equal((failed.body as {state: string}).state, 'failed');
  });

  test('refuses a task without starting it if its resources are in use', async () => {
    const worker = await startTestWorker({memoryMb: 1500});
    const payload = {runMs: ENDLESS_MS};
    const path = await openLeasePath(worker, {payload});
    const refused = await openLease(worker);
    assert.deepEqual(refused, {status: 409, body: {code: 'busy'}});
    await send('POST', worker.address, `${path}/stop`, {});
    const stopped = await send('GET', worker.address, path);
    assert.equal((stopped.body as {state: string}).state, 'stopped');
    assert.equal((await openLease(worker)).status, 201);
    assert.equal(worker.records.starts.length, 2);
  });

  test('stops a task whose lease expires, and reports it as lapsed', async () => {
    const worker = await startTestWorker();
    const payload = {runMs: ENDLESS_MS};
    const path = await openLeasePath(worker, {payload, leaseMs: 30});
    const lapsed = await send('GET', worker.address, `${path}?waitMs=20000`);
    assert.equal((lapsed.body as {state: string}).state, 'lapsed');
    const renewal = {leaseMs: ENDLESS_MS};
    const late = await send('POST', worker.address, `${path}/renew`, renewal);
    assert.deepEqual(late, {status: 404, body: {code: 'lapsed'}});
  });

  test('renews the lease of a task', async () => {
    const worker = await startTestWorker();
    const payload = {runMs: ENDLESS_MS};
    const path = await openLeasePath(worker, {payload, leaseMs: 20_000});
    const renewal = {leaseMs: ENDLESS_MS};
    const renewed = await send(
      'POST',
      worker.address,
      `${path}/renew`,
      renewal,
    );
    assert.equal(renewed.status, 200);
  });

  test('suspends a task throttled to 0 and resumes it', async () => {
    const worker = await startTestWorker();
    const path = await openLeasePath(worker, {payload: {runMs: ENDLESS_MS}});
    const throttle = (share: number) =>
      send('POST', worker.address, `${path}/throttle`, {share});
    const readProgress = async () => {
      const saved = await send('POST', worker.address, `${path}/checkpoint`);
      return (saved.body as {progress: number}).progress;
    };
    await throttle(0);
    const held = await readProgress();
    await send('GET', worker.address, `${path}?waitMs=30`);
    assert.equal(await readProgress(), held);
    await throttle(1);
    await waitUntil('it continues', async () => (await readProgress()) > held);
  });

  test('reports usage by kind of task, after a delay', async () => {
    const worker = await startTestWorker({lagMs: ENDLESS_MS});
    const payload = {runMs: ENDLESS_MS, kind: 'release', usesMemoryMb: 3000};
    const path = await openLeasePath(worker, {payload});
    const early = await send('GET', worker.address, path);
    assert.deepEqual(early.body, {state: 'running'});
    const readUsage = async () => {
      const {body} = await send('GET', worker.address, '/v1/usage');
      return body as {memoryMb: number; kinds: object};
    };
    assert.equal((await readUsage()).memoryMb, 0);
    worker.faults.set({lagMs: 20});
    await openLease(worker, {payload});
    await waitUntil(
      'the usage of the second task is reported',
      async () => (await readUsage()).memoryMb === 3000,
    );
    const release = {tasks: 1, processors: 4, memoryMb: 3000, accelerators: 0};
    assert.deepEqual((await readUsage()).kinds, {release});
  });
});

describe('the faults of a guarded worker', () => {
  test('leaving: no task starts; failAll: each task starts and fails', async () => {
    const worker = await startTestWorker();
    worker.faults.set({leaving: true});
    const refused = await openLease(worker);
    assert.deepEqual(refused, {status: 503, body: {code: 'leaving'}});
    worker.faults.set({failAll: true});
    assert.equal((await openLease(worker)).status, 500);
    assert.equal(worker.records.starts.length, 1);
  });

  test('loseEveryNthReply: a task starts although the reply with its lease is lost', async () => {
    const worker = await startTestWorker();
    worker.faults.set({loseEveryNthReply: 1});
    await assert.rejects(openLease(worker));
    assert.equal(worker.records.starts.length, 1);
    assert.equal(worker.records.report().lostReplies, 1);
  });
});
