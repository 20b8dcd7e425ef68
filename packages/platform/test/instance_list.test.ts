import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, test} from 'node:test';
import {Lifecycle, silentLogger} from '@goldcrestpier/runtime';
import {openSnapshots} from '@goldcrestpier/testing';
import fc from 'fast-check';
import {
  InstanceListPoller,
  parseInstanceList,
  PlatformFailureReason,
  type InstanceList,
  type PollReport,
} from '../src/index.js';

const snapshots = openSnapshots(import.meta.url);
const lifecycle = new Lifecycle('test');
after(() => lifecycle.close());

const ENTRY = {
  targets: ['127.0.0.1:1'],
  labels: {
    role: 'entry',
    name: 'entry-1',
    zone: 'zone-1',
    state: 'live',
    peer_address: '127.0.0.1:2',
    incarnation: 'zone-1.entry-1.0123456789ab',
  },
};
const RUNNER = {
  targets: ['127.0.0.1:3'],
  labels: {
    role: 'runner',
    name: 'runner-1',
    zone: 'zone-1',
    state: 'live',
    service: 'invoicing',
    slots: '8',
    datacenter: 'an unknown label',
  },
};
const WORKER = {
  targets: ['[::1]:4'],
  labels: {
    role: 'worker',
    name: 'worker-1',
    zone: 'zone-2',
    state: 'leaving',
    processors: '64',
    memory_mb: '131072',
    accelerators: '2',
    rack: 'rack-3',
  },
};

function changeLabels(target: typeof RUNNER, labels: object) {
  return {...target, labels: {...target.labels, ...labels}};
}

interface Served {
  status: number;
  text: string;
}

async function startList(served: Served): Promise<string> {
  const server = createServer((_, response) => {
    response.writeHead(served.status).end(served.text);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  lifecycle.own('server', () => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}/targets`;
}

test('parses targets as backend servers and entry instances', () => {
  snapshots.match('list', parseInstanceList([ENTRY, RUNNER, WORKER]));
});

test('skips malformed targets with a reason and keeps the others', () => {
  snapshots.match(
    'skipped',
    parseInstanceList([
      changeLabels(RUNNER, {name: 'runner-2', slots: 'eight'}),
      changeLabels(RUNNER, {name: 'runner-3', state: 'gone'}),
      changeLabels(RUNNER, {name: 'runner-4', role: 'unknown'}),
      {targets: ['127.0.0.1:1', '127.0.0.1:2'], labels: RUNNER.labels},
      null,
      RUNNER,
      RUNNER,
      {...WORKER, targets: ['nowhere']},
    ]),
  );
});

test('skips targets with an address or a number that cannot be used', () => {
  const addresses = ['h:0', 'h:65536', 'h:99999', '[:1', '[::g]:1', '%:1'];
  const hosts = ['a@b:1', 'a?b:1', 'a#b:1', 'a\\b:1', '256.256.256.256:1'];
  const odd = [
    ...[...addresses, ...hosts].map(address => ({
      ...RUNNER,
      targets: [address],
    })),
    changeLabels(RUNNER, {slots: '1e400'}),
    changeLabels(RUNNER, {slots: '9'.repeat(400)}),
    changeLabels(RUNNER, {slots: '-1'}),
    changeLabels(RUNNER, {slots: '1.5'}),
  ].map((target, index) => changeLabels(target, {name: `odd-${index}`}));
  const oddEntry = {
    ...ENTRY,
    labels: {...ENTRY.labels, peer_address: '127.0.0.1:65536'},
  };
  const parsed = parseInstanceList([...odd, oddEntry, RUNNER]);
  const servers = parsed?.list.servers.map(({name}) => name);
  assert.deepEqual(servers, ['runner-1']);
  assert.deepEqual(parsed?.list.entries, []);
  assert.equal(parsed?.skipped.length, odd.length + 1);
});

test('skips a deeply nested target and keeps the others', () => {
  const levels = 300_000;
  const deep = '['.repeat(levels) + ']'.repeat(levels);
  const runner = JSON.stringify(RUNNER);
  const label = `{"targets":["h:1"],"labels":{"name":${deep}}}`;
  const list: unknown = JSON.parse(`[${deep},${label},${runner}]`);
  const parsed = parseInstanceList(list);
  assert.equal(parsed?.list.servers.length, 1);
  assert.equal(parsed?.skipped.length, 2);
});

test('keeps the last valid list while polls fail, and its age grows', async () => {
  const served = {status: 200, text: JSON.stringify([ENTRY, RUNNER])};
  const reports: PollReport[] = [];
  const poller = new InstanceListPoller({
    url: await startList(served),
    pollMs: 10,
    timeoutMs: 5_000,
    logger: silentLogger,
    lifecycle,
    onPoll: report => reports.push(report),
  });
  assert.equal(poller.readAge(5), undefined);
  const published: InstanceList[] = [];
  void poller.changes.observe(list => void published.push(list));
  await poller.poll(100);
  await poller.poll(200);
  assert.equal(poller.readAge(250), 50);
  for (const [status, text] of [
    [503, ''],
    [200, 'no JSON'],
    [200, '{}'],
  ] as const) {
    Object.assign(served, {status, text});
    assert.ok((await poller.poll(300)).isErr());
  }
  assert.equal(poller.current.servers.length, 1);
  assert.equal(poller.readAge(1_200), 1_000);
  Object.assign(served, {status: 200, text: JSON.stringify([ENTRY, {}])});
  await poller.poll(1_300);
  assert.equal(poller.current.servers.length, 0);
  assert.equal(published.length, 2);
  assert.deepEqual(
    reports.map(({failed, skipped}) => failed ?? skipped),
    [
      0,
      0,
      PlatformFailureReason.Refused,
      PlatformFailureReason.Malformed,
      PlatformFailureReason.Malformed,
      1,
    ],
  );
});

test('polls the list until the lifecycle closes', async () => {
  const child = lifecycle.createChild('poller');
  let polls = 0;
  const ended = new Promise<void>(resolve => {
    const poller = new InstanceListPoller({
      url: 'http://127.0.0.1:1/targets',
      pollMs: 1,
      timeoutMs: 5_000,
      logger: silentLogger,
      lifecycle: child,
      onPoll: () => {
        polls += 1;
        if (polls === 3) resolve();
      },
    });
    poller.start();
  });
  await ended;
  assert.deepEqual(await child.close(), []);
});

test('parses any array and no other document', () => {
  const label = fc.constantFrom('role', 'name', 'slots', 'zone', '__proto__');
  const target = fc.record({
    targets: fc.oneof(fc.array(fc.string()), fc.constant(['127.0.0.1:1'])),
    labels: fc.dictionary(label, fc.oneof(fc.string(), fc.jsonValue())),
  });
  const document = fc.oneof(fc.jsonValue(), fc.array(target));
  fc.assert(
    fc.property(document, any => {
      const parsed = parseInstanceList(any);
      assert.equal(parsed === undefined, !Array.isArray(any));
    }),
    {seed: 3},
  );
});
