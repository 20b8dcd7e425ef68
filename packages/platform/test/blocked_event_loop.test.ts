import assert from 'node:assert/strict';
import {once} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {Worker} from 'node:worker_threads';
import {readClock} from '@goldcrestpier/runtime';
import type {KeyValueClient} from '../src/index.js';
import {createClient, lifecycle} from './service_fixture.js';

const TIMEOUT_MS = 500;
/** Longest time in which the thread answers, in ms. */
const ANSWER_TIMEOUT_MS = 30_000;

/** The words of the memory that the test and the thread share. */
const RECEIVED = 0;
const IS_BLOCKED = 1;
const ANSWERED = 2;
const WORD_COUNT = 3;

/** A thread that answers each read once the test has blocked its event loop. */
const serviceCode = `
  const {workerData, parentPort} = require('node:worker_threads');
  const {createServer} = require('node:http');
  const words = new Int32Array(workerData);
  const server = createServer((request, response) => {
    request.resume();
    response.once('finish', () => {
      Atomics.add(words, ${ANSWERED}, 1);
      Atomics.notify(words, ${ANSWERED});
    });
    request.once('end', () => {
      Atomics.add(words, ${RECEIVED}, 1);
      const timer = setInterval(() => {
        if (Atomics.load(words, ${IS_BLOCKED}) === 0) return;
        clearInterval(timer);
        response.end('{"header":{"revision":"1"}}');
      }, 5);
    });
  });
  server.listen(0, '127.0.0.1', () => {
    parentPort.postMessage(server.address().port);
  });
`;

/** Sends reads until the thread has received one that has not timed out. */
async function sendRead(client: KeyValueClient, words: Int32Array) {
  for (;;) {
    const sentAt = readClock();
    const received = Atomics.load(words, RECEIVED);
    let isOver = false;
    const result = client.range({key: 'key'}).finally(() => (isOver = true));
    while (!isOver && Atomics.load(words, RECEIVED) === received)
      await nextTurn();
    if (!isOver) return {sentAt, result};
  }
}

/** Blocks the event loop past the timeout and until the thread has answered. */
function blockUntilAnswered(words: Int32Array, sentAt: number): void {
  Atomics.store(words, IS_BLOCKED, 1);
  const outcome = Atomics.wait(words, ANSWERED, 0, ANSWER_TIMEOUT_MS);
  assert.notEqual(outcome, 'timed-out');
  while (readClock() - sentAt < 2 * TIMEOUT_MS);
}

test('a response that arrived while the event loop was blocked is no timeout of the service', async () => {
  const memory = new SharedArrayBuffer(
    WORD_COUNT * Int32Array.BYTES_PER_ELEMENT,
  );
  const words = new Int32Array(memory);
  const thread = new Worker(serviceCode, {eval: true, workerData: memory});
  lifecycle.own('thread', async () => {
    await thread.terminate();
  });
  const [port] = (await once(thread, 'message')) as [number];
  const endpoint = `http://127.0.0.1:${port}`;
  const client = createClient([endpoint], {timeoutMs: TIMEOUT_MS});
  const {sentAt, result} = await sendRead(client, words);
  blockUntilAnswered(words, sentAt);
  assert.ok((await result).isOk());
});
