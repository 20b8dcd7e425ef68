import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {test} from 'node:test';
import {Wakeup} from '../src/index.js';

const LONG_MS = 60_000;

test('a wait ends when it is told, before its time', async () => {
  const wakeup = new Wakeup();
  const waited = wakeup.wait(new AbortController().signal, LONG_MS);
  wakeup.tell();
  assert.equal(await waited, true);
});

test('what is told before a wait ends it at once, and only that one', async () => {
  const wakeup = new Wakeup();
  const {signal} = new AbortController();
  wakeup.tell();
  assert.equal(await wakeup.wait(signal, LONG_MS), true);
  assert.equal(await wakeup.wait(signal, 1), false);
});

test('waits that end by their time leave nothing on the signal', async () => {
  const wakeup = new Wakeup();
  const {signal} = new AbortController();
  for (let round = 0; round < 3; round += 1) {
    assert.equal(await wakeup.wait(signal, 1), false);
  }
  assert.deepEqual(getEventListeners(signal, 'abort'), []);
});

test('a wait without a time ends when its signal aborts', async () => {
  const wakeup = new Wakeup();
  const controller = new AbortController();
  const waited = wakeup.wait(controller.signal);
  controller.abort();
  assert.equal(await waited, false);
});
