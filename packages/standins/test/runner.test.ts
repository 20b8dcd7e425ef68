import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {Lifecycle} from '@goldcrestpier/runtime';
import {startRunner, type Standin} from '../src/index.js';
import {createSend, openLifecycle, waitUntil} from './helpers.js';

/** Longer than any test of this file; the task ends when the runner closes. */
const ENDLESS_MS = 600_000;

const lifecycle = openLifecycle();
const send = createSend(lifecycle);

function createTaskRequest(name: string, payload: unknown) {
  return {job: 'job-1', task: name, payload};
}

function sendTask(runner: Standin, name: string, payload: unknown = {}) {
  return send(
    'POST',
    runner.address,
    '/v1/tasks',
    createTaskRequest(name, payload),
  );
}

describe('a runner', () => {
  test('returns the echo and records the start', async () => {
    const runner = await startRunner({name: 'r1'}, lifecycle);
    const answer = await sendTask(runner, 'a', {runMs: 5, echo: {barrels: 3}});
    assert.deepEqual(answer, {
      status: 200,
      body: {result: {echo: {barrels: 3}, server: 'r1'}},
    });
    const starts = await send('GET', runner.adminAddress, '/admin/starts');
    const [start] = starts.body as [Record<string, unknown>];
    assert.equal(start['job'], 'job-1');
    assert.equal(start['task'], 'a');
    assert.equal(start['server'], 'r1');
  });

  test('fails a task on request, and returns results of the requested size', async () => {
    const runner = await startRunner({name: 'r1'}, lifecycle);
    const failed = await sendTask(runner, 'a', {fail: true});
    assert.equal(failed.status, 500);
    const large = await sendTask(runner, 'b', {resultBytes: 100_000});
    assert.ok(JSON.stringify(large.body).length > 100_000);
  });

  test('refuses a task without starting it while all slots are in use', async () => {
    const runner = await startRunner({name: 'r1', slots: 1}, lifecycle);
    const first = sendTask(runner, 'a', {runMs: ENDLESS_MS});
    first.catch(() => undefined);
    await waitUntil('the first runs', () => runner.records.starts.length === 1);
    const second = await sendTask(runner, 'b');
    assert.deepEqual(second, {status: 429, body: {code: 'busy'}});
    const health = await send('GET', runner.address, '/health');
    assert.deepEqual(health.body, {state: 'live', slots: 1, inUse: 1});
    assert.equal(runner.records.starts.length, 1);
    assert.equal(runner.records.report().refused['busy'], 1);
  });

  test('closes connections beyond its limit and counts them', async () => {
    const runner = await startRunner(
      {name: 'r1', connectionLimit: 1},
      lifecycle,
    );
    const first = sendTask(runner, 'a', {runMs: ENDLESS_MS});
    first.catch(() => undefined);
    await waitUntil('the first runs', () => runner.records.starts.length === 1);
    await assert.rejects(sendTask(runner, 'b'));
    const {connections} = runner.records.report();
    assert.equal(connections.peak, 1);
    assert.equal(connections.overLimit, 1);
  });
});

test('a runner stops a task whose client disconnects only if stopsOnClose is set', async () => {
  for (const stopsOnClose of [true, false]) {
    const runner = await startRunner({name: 'r1', stopsOnClose}, lifecycle);
    const own = new Lifecycle('client');
    const lost = createSend(own)('POST', runner.address, '/v1/tasks', {
      ...createTaskRequest('a', {runMs: ENDLESS_MS}),
    });
    lost.catch(() => undefined);
    await waitUntil('it runs', () => runner.records.starts.length === 1);
    await own.close();
    const open = () => runner.records.report().connections.open;
    await waitUntil('the connection is closed', () => open() === 0);
    const readHealth = () => send('GET', runner.address, '/health');
    const {inUse} = (await readHealth()).body as {inUse: number};
    assert.equal(inUse, stopsOnClose ? 0 : 1);
  }
});

describe('the faults of a runner', () => {
  test('are validated, replaced as a whole and returned', async () => {
    const runner = await startRunner({name: 'r1'}, lifecycle);
    const put = (body: unknown) =>
      send('PUT', runner.adminAddress, '/admin/faults', body);
    assert.equal((await put({slow: 3})).status, 400);
    await put({leaving: true});
    const refused = await sendTask(runner, 'a');
    assert.deepEqual(refused, {status: 503, body: {code: 'leaving'}});
    await put({failAll: true});
    assert.equal((await sendTask(runner, 'b', {runMs: 60_000})).status, 500);
    const faults = await send('GET', runner.adminAddress, '/admin/faults');
    assert.equal((faults.body as {leaving: boolean}).leaving, false);
  });

  test('frozen: no task starts and no reply is sent until the fault is off', async () => {
    const runner = await startRunner({name: 'r1'}, lifecycle);
    runner.faults.set({frozen: true});
    const answer = sendTask(runner, 'a');
    await waitUntil(
      'it is connected',
      () => runner.records.report().connections.open === 1,
    );
    assert.equal(runner.records.starts.length, 0);
    runner.faults.set({});
    assert.equal((await answer).status, 200);
    assert.equal(runner.records.starts.length, 1);
  });

  test('refuseConnections: connections are refused until the fault is off', async () => {
    const runner = await startRunner({name: 'r1'}, lifecycle);
    const put = (body: unknown) =>
      send('PUT', runner.adminAddress, '/admin/faults', body);
    await sendTask(runner, 'a');
    await put({refuseConnections: true});
    await assert.rejects(sendTask(runner, 'b'));
    await assert.rejects(sendTask(runner, 'c'), {code: 'ECONNREFUSED'});
    assert.equal(runner.records.starts.length, 1);
    await put({});
    await waitUntil('it accepts again', async () =>
      sendTask(runner, 'd').then(
        () => true,
        () => false,
      ),
    );
  });

  test('resetAfterStart: a task starts, but gets no reply', async () => {
    const runner = await startRunner({name: 'r1'}, lifecycle);
    runner.faults.set({resetAfterStart: true});
    await assert.rejects(sendTask(runner, 'a'));
    assert.equal(runner.records.starts.length, 1);
  });

  test('loseEveryNthReply: every second reply is lost', async () => {
    const runner = await startRunner({name: 'r1'}, lifecycle);
    runner.faults.set({loseEveryNthReply: 2});
    assert.equal((await sendTask(runner, 'a')).status, 200);
    await assert.rejects(sendTask(runner, 'b'));
    assert.equal((await sendTask(runner, 'c')).status, 200);
    assert.equal(runner.records.starts.length, 3);
    assert.equal(runner.records.report().lostReplies, 1);
  });
});
