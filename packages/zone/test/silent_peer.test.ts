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
import {bounds, createDirectory, fail} from './fixtures/scene.js';

/** A peer that neither asks for signs of life nor comes back. */
const quietLimits = {
  connectMs: 5_000,
  silenceMs: 600_000,
  firstRetryMs: 600_000,
  longestRetryMs: 600_000,
};

/** A port of this host that nobody listened on just now. */
async function findPort(): Promise<number> {
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

test('what a silent peer sent earlier is not taken as fresh later', async () => {
  const lifecycle = new Lifecycle('test');
  const port = await findPort();
  const started = await startInstance({
    id: 'a',
    zone: 'z',
    processors: 1,
    listen: {host: '127.0.0.1', port},
    nonce: 1,
    bounds,
    directory: createDirectory(),
    port: {start: fail, stop: fail, look: fail},
    otherZones: [],
    seeds: [],
    logs: new Logs('test', LogLevel.Silent),
    metrics: new ZoneMetrics(),
    lifecycle,
  });
  assert.ok(started.isOk());
  const self = {address: `127.0.0.1:${port}`, token: 'zone', self: 'b'};
  const link = createCallLink(
    {...self, logger: silentLogger, lifecycle, limits: quietLimits},
    zoneMethods,
  );
  await waitFor(() => link.isConnected());
  await waitFor(() => !link.isConnected());
  await lifecycle.close();
  assert.equal(link.isConnected(), false);
});
