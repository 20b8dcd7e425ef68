import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import {createCallLink} from '@goldcrestpier/peers';
import {Lifecycle, Logs, LogLevel, silentLogger} from '@goldcrestpier/runtime';
import {startInstance} from '../src/index.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {zoneMethods} from '../src/protocol/index.js';
import {
  dispatchOptions,
  createDirectory,
  failOnCall,
} from './fixtures/dispatcher.js';

/** Limits of a peer that neither sends pings nor reconnects. */
const passiveLimits = {
  connectMs: 5_000,
  silenceMs: 600_000,
  firstRetryMs: 600_000,
  longestRetryMs: 600_000,
};

/** Finds a port of this host that nothing listens on at the moment. */
async function findFreePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

async function waitFor(check: () => boolean): Promise<void> {
  while (!check()) await sleep(20);
}

test('the connection of a silent peer is closed, so that its old messages are not taken as fresh', async () => {
  const lifecycle = new Lifecycle('test');
  const port = await findFreePort();
  const started = await startInstance({
    id: 'a',
    zone: 'z',
    processors: 1,
    listen: {host: '127.0.0.1', port},
    nonce: 1,
    dispatchOptions,
    directory: createDirectory(),
    workerPort: {
      start: failOnCall,
      stop: failOnCall,
      poll: failOnCall,
      lastDisconnectAt: failOnCall,
    },
    otherZones: [],
    seeds: [],
    logs: new Logs('test', LogLevel.Silent),
    metrics: new ZoneMetrics(),
    lifecycle,
  });
  assert.ok(started.isOk());
  const connectionOptions = {
    address: `127.0.0.1:${port}`,
    token: 'zone',
    self: 'b',
  };
  const link = createCallLink(
    {
      ...connectionOptions,
      logger: silentLogger,
      lifecycle,
      limits: passiveLimits,
    },
    zoneMethods,
  );
  const {connections} = started.value;
  await waitFor(() => link.isConnected());
  await waitFor(() => connections.isOpen('b'));
  await waitFor(() => !link.isConnected());
  await waitFor(() => !connections.isOpen('b'));
  await lifecycle.close();
  assert.equal(link.isConnected(), false);
});
