import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Lifecycle, sleep} from '../src/index.js';

test('resources are closed once, in reverse order of registration', async () => {
  const lifecycle = new Lifecycle('test');
  const closed: string[] = [];
  lifecycle.own('first', () => void closed.push('first'));
  lifecycle.own('second', () => void closed.push('second'));
  await Promise.all([lifecycle.close(), lifecycle.close()]);
  assert.deepEqual(closed, ['second', 'first']);
});

test('a loop ends on the signal before the resource that it uses is closed', async () => {
  const lifecycle = new Lifecycle('test');
  const order: string[] = [];
  lifecycle.own('socket', () => void order.push('socket closed'));
  lifecycle.run(
    'loop',
    async signal => {
      await sleep(60_000, signal);
      order.push('loop ended');
    },
    cause => order.push(String(cause)),
  );
  await lifecycle.close();
  assert.deepEqual(order, ['loop ended', 'socket closed']);
});

test('a resource that fails to close is reported, and the others are closed', async () => {
  const lifecycle = new Lifecycle('test');
  let closed = false;
  lifecycle.own('good', () => {
    closed = true;
  });
  lifecycle.own('bad', () => {
    throw new Error('still busy');
  });
  const failures = await lifecycle.close();
  assert.equal(closed, true);
  assert.deepEqual(
    failures.map(failure => failure.resource),
    ['test/bad'],
  );
});

test('a parent does not keep a child that was closed by itself', async () => {
  const lifecycle = new Lifecycle('test');
  let closes = 0;
  const child = lifecycle.createChild('child');
  child.own('socket', () => {
    closes += 1;
    throw new Error('still busy');
  });
  assert.equal((await child.close()).length, 1);
  assert.deepEqual(await lifecycle.close(), []);
  assert.equal(closes, 1);
});
