import assert from 'node:assert/strict';
import {once} from 'node:events';
import {request} from 'node:http';
import {test} from 'node:test';
import fc from 'fast-check';
import {WebSocket} from 'ws';
import {FailureCode} from '@goldcrestpier/protocol';
import type {Lifecycle} from '@goldcrestpier/runtime';
import {
  createHandlers,
  createHeartbeat,
  createLifecycle,
  startLink,
  startServer,
  TIMEOUT_MS,
  TOKEN,
  waitFor,
} from './fixtures.js';

const SEED = 20_261_203;

async function openRawSocket(
  lifecycle: Lifecycle,
  port: number,
): Promise<WebSocket> {
  const socket = new WebSocket(`ws://127.0.0.1:${port}/`, {
    headers: {authorization: `Bearer ${TOKEN}`},
  });
  socket.on('error', () => undefined);
  lifecycle.own('raw socket', () => socket.terminate());
  await once(socket, 'open');
  return socket;
}

async function sendFrame(socket: WebSocket, frame: string | Buffer) {
  const answered = once(socket, 'message');
  socket.send(frame);
  const [data] = (await answered) as [Buffer];
  return JSON.parse(data.toString()) as {
    id: unknown;
    error?: {message: string; data: {failure: {code: string}}};
  };
}

const callNames = fc.constantFrom(
  'heartbeat',
  'submit',
  'read',
  'cancel',
  'endSession',
  'handOver',
  'readSettings',
  'demand',
  'settle',
  'offer',
  'inspect',
  'constructor',
  '__proto__',
  'heartbeat.from',
);

test('a malformed message gets a typed failure and the process keeps serving', async context => {
  const lifecycle = createLifecycle(context);
  let handled = 0;
  const handlers = createHandlers({
    submit: () => {
      handled += 1;
      return Promise.reject(
        new Error('a malformed submission reached the handler'),
      );
    },
  });
  const server = await startServer(lifecycle, {handlers});
  const socket = await openRawSocket(lifecycle, server.port);
  const frames = fc.oneof(
    fc.string(),
    fc.json(),
    fc.uint8Array().map(bytes => Buffer.from(bytes)),
    fc
      .record({
        id: fc.oneof(fc.nat(), fc.string(), fc.constant(null)),
        method: fc.constantFrom('query', 'mutation', 'subscription', 'x'),
        params: fc.record({path: callNames, input: fc.jsonValue()}),
      })
      .map(message => JSON.stringify(message)),
  );
  await fc.assert(
    fc.asyncProperty(frames, async frame => {
      // tRPC's keep-alive messages, which get no typed answer.
      fc.pre(frame !== 'PING' && frame !== 'PONG');
      const answer = await sendFrame(socket, frame);
      if (answer.error === undefined) return;
      assert.ok(answer.error.data.failure.code.length > 0);
    }),
    {seed: SEED, numRuns: 400},
  );
  assert.equal(socket.readyState, WebSocket.OPEN);
  assert.equal(handled, 0);
  const link = startLink(lifecycle, server.port);
  await waitFor('a connection', () => link.isConnected());
  const answered = await link.heartbeat(createHeartbeat(), TIMEOUT_MS);
  assert.equal(answered.isOk(), true);
});

test('the failure for a heartbeat with an invalid field names the field', async context => {
  const lifecycle = createLifecycle(context);
  const server = await startServer(lifecycle);
  const link = startLink(lifecycle, server.port);
  await waitFor('a connection', () => link.isConnected());
  const heartbeat = createHeartbeat();
  const broken = {...heartbeat, from: {...heartbeat.from, weight: -1}};
  const failure = (await link.heartbeat(broken, TIMEOUT_MS)).unwrapErr();
  assert.ok('failure' in failure);
  assert.equal(failure.failure.code, FailureCode.InvalidRequest);
  assert.match(failure.failure.message, /from\.weight: found -1/);
});

test('batches, subscriptions and call ids in use are rejected', async context => {
  const lifecycle = createLifecycle(context);
  const handlers = createHandlers({
    readSettings: () => new Promise(() => undefined),
  });
  const limits = {drainMs: 20};
  const server = await startServer(lifecycle, {handlers, limits});
  const socket = await openRawSocket(lifecycle, server.port);
  const params = {path: 'readSettings', input: {knownRevision: 1}};
  const call = {id: 1, method: 'query', params};
  socket.send(JSON.stringify(call));
  for (const frame of [
    call,
    [{...call, id: 2}],
    {...call, id: 3, method: 'subscription'},
    {...call, id: 'text'},
  ]) {
    const answer = await sendFrame(socket, JSON.stringify(frame));
    assert.equal(answer.error?.data.failure.code, FailureCode.InvalidRequest);
  }
});

test('deeply nested input neither crashes the process nor reaches a handler', async context => {
  const lifecycle = createLifecycle(context);
  const server = await startServer(lifecycle);
  const socket = await openRawSocket(lifecycle, server.port);
  const depth = 200_000;
  const nested = '['.repeat(depth) + ']'.repeat(depth);
  const frame = `{"id":1,"method":"mutation","params":{"path":"heartbeat","input":${nested}}}`;
  const answer = await sendFrame(socket, frame);
  assert.notEqual(answer.error, undefined);
});

test('a message over the size limit closes only its own connection', async context => {
  const lifecycle = createLifecycle(context);
  const limits = {maxMessageBytes: 10_000};
  const server = await startServer(lifecycle, {limits});
  const link = startLink(lifecycle, server.port);
  await waitFor('a connection', () => link.isConnected());
  const socket = await openRawSocket(lifecycle, server.port);
  const closed = once(socket, 'close');
  socket.send('x'.repeat(10_001));
  const [code] = (await closed) as [number];
  assert.equal(code, 1009);
  const read = await link.readSettings({knownRevision: 1}, TIMEOUT_MS);
  assert.equal(read.isOk(), true);
});

test('a connection whose peer stops reading is closed before answers fill the memory', async context => {
  const lifecycle = createLifecycle(context);
  const answer = {incarnation: 'x'.repeat(500_000), jobs: [], servers: []};
  const handlers = createHandlers({inspect: () => Promise.resolve(answer)});
  const limits = {maxBufferedBytes: 1_000_000};
  const server = await startServer(lifecycle, {handlers, limits});
  const socket = await openRawSocket(lifecycle, server.port);
  socket.pause();
  const createFrame = (id: number) =>
    JSON.stringify({id, method: 'query', params: {path: 'inspect'}});
  for (let id = 1; id <= 200; id += 1) socket.send(createFrame(id));
  await waitFor('the connection to close', () => server.connections() === 0);
});

test('an idle connection without received data is closed', async context => {
  const lifecycle = createLifecycle(context);
  const server = await startServer(lifecycle, {
    limits: {silenceTimeoutMs: 100},
  });
  const socket = await openRawSocket(lifecycle, server.port);
  await once(socket, 'close');
  await waitFor('the server side to close', () => server.connections() === 0);
});

test('connections over the limit are refused with a typed failure as the body', async context => {
  const lifecycle = createLifecycle(context);
  const server = await startServer(lifecycle, {limits: {maxConnections: 1}});
  await openRawSocket(lifecycle, server.port);
  const {status, code} = await requestUpgrade(server.port, `Bearer ${TOKEN}`);
  assert.deepEqual({status, code}, {status: 503, code: FailureCode.QueueFull});
});

test('an upgrade with a wrong token and a plain HTTP request get typed failures', async context => {
  const lifecycle = createLifecycle(context);
  const {port} = await startServer(lifecycle);
  for (const authorization of [
    undefined,
    '',
    `Basic ${TOKEN}`,
    `Bearer ${TOKEN}0`,
  ]) {
    const refused = await requestUpgrade(port, authorization);
    const code = FailureCode.Unauthorized;
    assert.deepEqual(refused, {status: 401, code});
  }
  const plain = await fetch(`http://127.0.0.1:${port}/`);
  assert.equal(plain.status, 404);
  const body = (await plain.json()) as {code: string};
  assert.equal(body.code, FailureCode.NotFound);
});

async function requestUpgrade(port: number, authorization: string | undefined) {
  const headers: Record<string, string> = {
    connection: 'Upgrade',
    upgrade: 'websocket',
    'sec-websocket-version': '13',
    'sec-websocket-key': Buffer.alloc(16).toString('base64'),
  };
  if (authorization !== undefined) headers['authorization'] = authorization;
  const sent = request({host: '127.0.0.1', port, headers}).end();
  const [response] = (await once(sent, 'response')) as [
    AsyncIterable<Buffer> & {statusCode: number},
  ];
  let body = '';
  for await (const part of response) body += part.toString();
  const {code} = JSON.parse(body) as {code: string};
  return {status: response.statusCode, code};
}
