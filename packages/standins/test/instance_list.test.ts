import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  InstanceRole,
  InstanceState,
  startInstanceList,
  type InstanceTarget,
} from '../src/index.js';
import {createSend, openLifecycle, waitUntil} from './helpers.js';

const lifecycle = openLifecycle();
const send = createSend(lifecycle);

const target: InstanceTarget = {
  targets: ['127.0.0.1:9000'],
  labels: {
    role: InstanceRole.Runner,
    name: 'r1',
    zone: 'batangas-1',
    state: InstanceState.Live,
    service: 'invoicing',
    slots: '8',
  },
};

test('an instance can be listed, changed and removed', async () => {
  const list = await startInstanceList({}, lifecycle);
  const path = '/admin/targets/r1';
  const leaving = {...target, labels: {...target.labels, state: 'leaving'}};
  for (const shown of [target, leaving]) {
    assert.equal((await send('PUT', list.address, path, shown)).status, 200);
    const answer = await send('GET', list.address, '/targets');
    assert.deepEqual(answer.body, [shown]);
  }
  await send('DELETE', list.address, path);
  assert.deepEqual((await send('GET', list.address, '/targets')).body, []);
  const wrong = await send('PUT', list.address, path, {targets: []});
  assert.equal(wrong.status, 400);
});

test('a change is visible only after the delay', async () => {
  const list = await startInstanceList({lagMs: 600_000}, lifecycle);
  list.put(target);
  assert.deepEqual((await send('GET', list.address, '/targets')).body, []);
  list.faults.set({lagMs: 20});
  const other = {...target, labels: {...target.labels, name: 'r2'}};
  list.put(other);
  const read = async () =>
    (await send('GET', list.address, '/targets')).body as unknown[];
  await waitUntil('a change is visible', async () => (await read()).length > 0);
  assert.deepEqual(await read(), [other]);
});

test('the list responds with 503 while the fault listOut is on', async () => {
  const list = await startInstanceList({}, lifecycle);
  list.faults.set({listOut: true});
  assert.equal((await send('GET', list.address, '/targets')).status, 503);
  assert.equal(list.records.report().refused['out'], 1);
});
