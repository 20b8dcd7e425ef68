import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, test} from 'node:test';
import fc from 'fast-check';
import {PartitionKind, Link, startRelay} from '../src/index.js';
import {openLifecycle, waitUntil} from './helpers.js';

const SEED = 4711;
const lifecycle = openLifecycle();

/** Starts a server that echoes all data. */
async function startEcho() {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  lifecycle.own('echo', () => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return {port: (server.address() as AddressInfo).port, sockets};
}

function openConnection(address: string) {
  const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
  lifecycle.own('client', () => void socket.destroy());
  const received: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => received.push(chunk));
  socket.on('error', () => undefined);
  return {socket, read: () => Buffer.concat(received).toString()};
}

async function setUp(link = new Link()) {
  const echo = await startEcho();
  const target = `127.0.0.1:${echo.port}`;
  const relay = await startRelay({target, link}, lifecycle);
  return {link, relay, echo};
}

describe('a relay', () => {
  test('forwards data and the end of the stream in both directions', async () => {
    const {relay, link} = await setUp();
    const client = openConnection(relay.address);
    client.socket.end('one meter reading');
    await once(client.socket, 'close');
    assert.equal(client.read(), 'one meter reading');
    assert.equal(link.byteCount, 2 * 'one meter reading'.length);
    await waitUntil(
      'the connection is removed',
      () => link.connectionCount === 0,
    );
  });

  test('keeps the order of data when the delays change', async () => {
    const delay = fc.double({min: 0, max: 4, noNaN: true});
    const {relay, link} = await setUp();
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.tuple(delay, delay), {minLength: 1, maxLength: 8}),
        async delays => {
          const client = openConnection(relay.address);
          let sent = '';
          for (const [forwardMs, backwardMs] of delays) {
            link.delays = {forwardMs, backwardMs};
            sent += `${sent.length};`.repeat(200);
            client.socket.write(sent);
            await new Promise(setImmediate);
          }
          const all = client.socket.bytesWritten + client.socket.writableLength;
          await waitUntil(
            'all data is echoed',
            () => client.read().length >= all,
          );
          assert.ok(client.read().endsWith(sent));
          client.socket.destroy();
        },
      ),
      {seed: SEED, numRuns: 20},
    );
  });

  test('delays each direction by at least its configured delay', async () => {
    const {relay, link} = await setUp();
    link.delays = {forwardMs: 40, backwardMs: 20};
    const client = openConnection(relay.address);
    await once(client.socket, 'connect');
    const from = performance.now();
    client.socket.write('x');
    await once(client.socket, 'data');
    assert.ok(performance.now() - from >= 60);
  });

  test('a closed partition closes connections and refuses new ones until it heals', async () => {
    const {relay, link} = await setUp();
    const client = openConnection(relay.address);
    client.socket.write('x');
    await waitUntil('the echo is back', () => client.read() === 'x');
    link.partition(PartitionKind.Closed);
    await once(client.socket, 'close');
    const refused = openConnection(relay.address);
    const [cause] = (await once(refused.socket, 'error')) as [
      NodeJS.ErrnoException,
    ];
    assert.equal(cause.code, 'ECONNREFUSED');
    link.heal();
    const again = openConnection(relay.address);
    again.socket.write('y');
    await waitUntil('the echo is back', () => again.read() === 'y');
  });

  test('a silent partition forwards no data, and new connections do not reach the target', async () => {
    const {relay, link, echo} = await setUp();
    const client = openConnection(relay.address);
    client.socket.write('x');
    await waitUntil('the echo is back', () => client.read() === 'x');
    link.partition(PartitionKind.Silent);
    client.socket.write('lost');
    const late = openConnection(relay.address);
    late.socket.write('lost');
    await once(late.socket, 'connect');
    await waitUntil(
      'both connections are on the link',
      () => link.connectionCount === 2,
    );
    assert.equal(echo.sockets.size, 1);
    assert.equal(client.read(), 'x');
    link.heal();
    await once(client.socket, 'close');
    assert.equal(client.read(), 'x');
  });

  test('selects the link of each connection', async () => {
    const echo = await startEcho();
    const links = [new Link(), new Link()];
    let next = 0;
    const relay = await startRelay(
      {target: `127.0.0.1:${echo.port}`, link: () => links[next++]},
      lifecycle,
    );
    const [first, second] = [
      openConnection(relay.address),
      openConnection(relay.address),
    ];
    await waitUntil('each link has a connection', () =>
      links.every(l => l.connectionCount === 1),
    );
    links[0]?.partition(PartitionKind.Closed);
    await once(first.socket, 'close');
    second.socket.write('x');
    await waitUntil('the echo is back', () => second.read() === 'x');
  });
});
