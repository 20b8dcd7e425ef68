import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {WebSocketServer, type WebSocket} from 'ws';
import type {AddressInfo} from 'node:net';
import {silentLogger, sleep} from '@goldcrestpier/runtime';
import {
  calculateBackoff,
  NotSentReason,
  PeerFailureKind,
  RelayAnswerKind,
  startPeerServer,
  UnknownReason,
  type RelayAnswer,
} from '../src/index.js';
import {
  createHandlers,
  createLifecycle,
  jobQuery,
  startLink,
  startPair,
  startServer,
  TIMEOUT_MS,
  TOKEN,
  waitFor,
} from './fixtures.js';
import {startTcpRelay} from '@goldcrestpier/testing';

const disconnectedFailures = {
  notSent: {
    kind: PeerFailureKind.NotSent,
    reason: NotSentReason.Disconnected,
  },
  unknown: {kind: PeerFailureKind.Unknown, reason: UnknownReason.Disconnected},
};
const neverAnswer = () => new Promise<RelayAnswer>(() => undefined);

test('a call without a connection fails at once as not sent', async context => {
  const lifecycle = createLifecycle(context);
  const link = startLink(lifecycle, 1);
  const failure = (await link.read(jobQuery, TIMEOUT_MS)).unwrapErr();
  assert.deepEqual(failure, disconnectedFailures.notSent);
});

test('a link with an invalid address sends nothing and does not crash', async context => {
  const lifecycle = createLifecycle(context);
  const {port} = await startServer(lifecycle);
  const addresses = ['', 'no port', '127.0.0.1:99999', 'a b://c'];
  const redirectingAddresses = [
    `x@127.0.0.1:${port}`,
    `127.0.0.1:${port}/x`,
    `a/#:1`,
  ];
  for (const address of [...addresses, ...redirectingAddresses]) {
    const link = startLink(lifecycle, 0, {address});
    await sleep(50);
    const failure = (await link.read(jobQuery, TIMEOUT_MS)).unwrapErr();
    assert.deepEqual(failure, disconnectedFailures.notSent);
  }
});

test('a connection with a wrong token is refused before any call is read', async context => {
  const lifecycle = createLifecycle(context);
  let calls = 0;
  const count = () => {
    calls += 1;
    return Promise.resolve({kind: RelayAnswerKind.Ended as const});
  };
  const warnings: string[] = [];
  const logger = {
    ...silentLogger,
    warn: (_: string, fields?: object) => warnings.push(JSON.stringify(fields)),
  };
  const handlers = createHandlers({read: count});
  const server = await startServer(lifecycle, {handlers});
  const changes = {token: `${TOKEN}x`, logger};
  const link = startLink(lifecycle, server.port, changes);
  await waitFor('a refused connection', () => warnings.length > 0);
  assert.match(warnings.join(), /unauthorized/);
  assert.doesNotMatch(warnings.join(), new RegExp(TOKEN));
  const failure = (await link.read(jobQuery, TIMEOUT_MS)).unwrapErr();
  assert.deepEqual(failure, disconnectedFailures.notSent);
  assert.equal(server.connections(), 0);
  assert.equal(calls, 0);
});

test('a lost connection leaves the outcome of a call unknown, and the link reconnects', async context => {
  const lifecycle = createLifecycle(context);
  const handlers = createHandlers({read: neverAnswer});
  const server = await startServer(lifecycle, {
    handlers,
    limits: {drainMs: 20},
  });
  const relay = await startTcpRelay(lifecycle, server.port);
  const link = startLink(lifecycle, relay.port);
  await waitFor('a connection', () => link.isConnected());
  const reading = link.read(jobQuery, TIMEOUT_MS);
  await sleep(20);
  relay.closeConnections();
  assert.deepEqual((await reading).unwrapErr(), disconnectedFailures.unknown);
  await waitFor('a connection', () => link.isConnected());
  const next = await link.readSettings({knownRevision: 1}, TIMEOUT_MS);
  assert.equal(next.isOk(), true);
});

test('a connection that drops all data without closing is detected and replaced', async context => {
  const lifecycle = createLifecycle(context);
  const server = await startServer(lifecycle, {
    limits: {silenceTimeoutMs: 500},
  });
  const relay = await startTcpRelay(lifecycle, server.port);
  const limits = {silenceMs: 400, connectMs: 400};
  const link = startLink(lifecycle, relay.port, {limits});
  await waitFor('a connection', () => link.isConnected());
  relay.isDropping = true;
  const reading = await link.read(jobQuery, TIMEOUT_MS);
  assert.deepEqual(reading.unwrapErr(), disconnectedFailures.unknown);
  assert.equal(link.isConnected(), false);
  await waitFor('the server side to close', () => server.connections() === 0);
  relay.isDropping = false;
  await waitFor('a connection', () => link.isConnected());
});

test('an idle connection to a live peer stays open', async context => {
  const lifecycle = createLifecycle(context);
  const limits = {silenceMs: 200};
  const {link} = await startPair(
    lifecycle,
    {limits: {silenceTimeoutMs: 600}},
    {limits},
  );
  const openedAt = link.connectedAt();
  assert.notEqual(openedAt, undefined);
  await sleep(1_500);
  assert.equal(link.connectedAt(), openedAt);
});

test('a link reconnects after its peer restarts on the same port', async context => {
  const lifecycle = createLifecycle(context);
  const first = lifecycle.createChild('first');
  const server = await startServer(first);
  const link = startLink(lifecycle, server.port);
  await waitFor('a connection', () => link.isConnected());
  await first.close();
  await waitFor('the link to disconnect', () => !link.isConnected());
  const listen = {host: '127.0.0.1', port: server.port};
  const handlers = createHandlers({
    readSettings: () => Promise.resolve({revision: 99}),
  });
  await startServer(lifecycle, {listen, handlers});
  await waitFor('a connection', () => link.isConnected());
  const read = await link.readSettings({knownRevision: 1}, TIMEOUT_MS);
  assert.equal(read.unwrap().revision, 99);
});

test('closing the listener waits for the answers to calls in flight', async context => {
  const lifecycle = createLifecycle(context);
  const inner = lifecycle.createChild('server');
  let answer: (value: RelayAnswer) => void = () => undefined;
  const handlers = createHandlers({
    read: () => new Promise(resolve => (answer = resolve)),
  });
  const server = await startServer(inner, {
    handlers,
    limits: {drainMs: TIMEOUT_MS},
  });
  const link = startLink(lifecycle, server.port);
  await waitFor('a connection', () => link.isConnected());
  const reading = link.read(jobQuery, TIMEOUT_MS);
  await sleep(30);
  const closing = inner.close();
  await sleep(30);
  answer({kind: RelayAnswerKind.Ended});
  assert.equal((await reading).isOk(), true);
  await closing;
});

test('closing a link leaves the outcome of its calls unknown', async context => {
  const lifecycle = createLifecycle(context);
  const handlers = createHandlers({read: neverAnswer});
  const {link} = await startPair(lifecycle, {
    handlers,
    limits: {drainMs: 20},
  });
  const reading = link.read(jobQuery, TIMEOUT_MS);
  await link.close();
  assert.deepEqual((await reading).unwrapErr(), disconnectedFailures.unknown);
  const next = (await link.read(jobQuery, TIMEOUT_MS)).unwrapErr();
  assert.deepEqual(next, disconnectedFailures.notSent);
});

test('listening on an address in use returns a typed failure', async context => {
  const lifecycle = createLifecycle(context);
  const {port} = await startServer(lifecycle);
  const second = await startPeerServer({
    listen: {host: '127.0.0.1', port},
    token: TOKEN,
    handlers: createHandlers(),
    logger: silentLogger,
    lifecycle,
  });
  assert.equal(second.unwrapErr().code, 'EADDRINUSE');
});

test('malformed answers leave the outcome of calls unknown and do not crash the process', async context => {
  const lifecycle = createLifecycle(context);
  const answers: Array<(socket: WebSocket, id: number) => void> = [
    (socket, id) => socket.send(JSON.stringify({id, result: 'nothing'})),
    (socket, id) => socket.send(JSON.stringify({id, error: {code: 1}})),
    (socket, id) => socket.send(JSON.stringify({id, result: {data: 1}})),
    socket => socket.send('not json'),
    socket => socket.send(Buffer.from([0, 1, 2])),
    socket => socket.send(JSON.stringify([{id: null}])),
    socket => socket.close(),
  ];
  const server = new WebSocketServer({port: 0, host: '127.0.0.1'});
  lifecycle.own('malformed peer', () => {
    for (const socket of server.clients) socket.terminate();
    server.close();
  });
  await once(server, 'listening');
  let next = 0;
  server.on('connection', socket => {
    socket.on('message', data => {
      const {id} = JSON.parse((data as Buffer).toString()) as {id: number};
      answers[next]?.(socket, id);
    });
  });
  const {port} = server.address() as AddressInfo;
  const link = startLink(lifecycle, port);
  for (; next < answers.length; next += 1) {
    await waitFor('a connection', () => link.isConnected());
    const failure = (await link.read(jobQuery, 300)).unwrapErr();
    assert.equal(failure.kind, PeerFailureKind.Unknown);
  }
});

test('the backoff doubles up to a maximum and has jitter', () => {
  assert.equal(calculateBackoff(0, 50, 2_000, 0), 50);
  assert.equal(calculateBackoff(3, 50, 2_000, 0), 400);
  assert.equal(calculateBackoff(3, 50, 2_000, 1), 200);
  assert.equal(calculateBackoff(5_000, 50, 2_000, 0), 2_000);
});
