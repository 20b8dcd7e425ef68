import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {test} from 'node:test';
import {Wakeup} from '../src/index.js';

const LONG_MS = 60_000;

test('a notification ends a wait before its timeout', async () => {
  const wakeup = new Wakeup();
  const waited = wakeup.wait(new AbortController().signal, LONG_MS);
  wakeup.notify();
  assert.equal(await waited, true);
});

test('a notification before a wait ends that wait at once, and no later one', async () => {
  const wakeup = new Wakeup();
  const {signal} = new AbortController();
  wakeup.notify();
  assert.equal(await wakeup.wait(signal, LONG_MS), true);
  assert.equal(await wakeup.wait(signal, 1), false);
});

test('waits that time out leave no listeners on the signal', async () => {
  const wakeup = new Wakeup();
  const {signal} = new AbortController();
  for (let round = 0; round < 3; round += 1) {
    assert.equal(await wakeup.wait(signal, 1), false);
  }
  assert.deepEqual(getEventListeners(signal, 'abort'), []);
});

test('a wait without a timeout ends when its signal aborts', async () => {
  const wakeup = new Wakeup();
  const controller = new AbortController();
  const waited = wakeup.wait(controller.signal);
  controller.abort();
  assert.equal(await waited, false);
});
