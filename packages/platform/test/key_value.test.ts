import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {sleep} from '@goldcrestpier/runtime';
import {startKeyValue} from '@goldcrestpier/standins';
import fc from 'fast-check';
import {
  ComparisonKind,
  PlatformFailureReason,
  StepKind,
  WatchKind,
  type Transaction,
  type WatchMessage,
} from '../src/index.js';
import {createClient, lifecycle, startService} from './service_fixture.js';

async function listen(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  lifecycle.own('server', () => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createIfAbsent(key: string, value: string): Transaction {
  return {
    compare: [{kind: ComparisonKind.CreateRevision, key, equals: 0}],
    success: [{kind: StepKind.Put, key, value}],
    failure: [{kind: StepKind.Get, key}],
  };
}

test('writes, reads and deletes values by key and by prefix', async () => {
  const client = createClient([(await startService()).address]);
  await client.put('a/1', 'één');
  await client.put('a/2', '');
  await client.put('b', 'other');
  const {values} = (await client.range({key: 'a/', isPrefix: true})).unwrap();
  assert.deepEqual(
    values.map(({key, value, version}) => ({key, value, version})),
    [
      {key: 'a/1', value: 'één', version: 1},
      {key: 'a/2', value: '', version: 1},
    ],
  );
  await client.delete({key: 'a/', isPrefix: true});
  const remaining = (await client.range({key: 'a/', isPrefix: true})).unwrap();
  assert.deepEqual(remaining.values, []);
});

test('only one of two concurrent transactions creates a key', async () => {
  const client = createClient([(await startService()).address]);
  const responses = await Promise.all([
    client.txn(createIfAbsent('key', 'first')),
    client.txn(createIfAbsent('key', 'second')),
  ]);
  const [winner, loser] = responses
    .map(response => response.unwrap())
    .sort((a, b) => Number(b.succeeded) - Number(a.succeeded));
  assert.equal(winner?.succeeded, true);
  assert.equal(loser?.succeeded, false);
  assert.equal(loser.results[0]?.kind, StepKind.Get);
});

test('each nested transaction runs its own branch', async () => {
  const client = createClient([(await startService()).address]);
  await client.put('taken', 'before');
  const steps = ['taken', 'free'].map(key => ({
    kind: StepKind.Txn as const,
    ...createIfAbsent(key, 'now'),
  }));
  const response = (
    await client.txn({compare: [], success: steps, failure: []})
  ).unwrap();
  assert.deepEqual(
    response.results.map(step => step.kind === StepKind.Txn && step.succeeded),
    [false, true],
  );
});

test('a write whose response is lost has an unknown outcome and may have taken effect', async () => {
  const service = await startService();
  const client = createClient([service.address]);
  service.setFaults({loseAnswers: 1});
  const lost = (await client.put('key', 'value')).unwrapErr();
  assert.equal(lost.reason, PlatformFailureReason.OutcomeUnknown);
  assert.equal(lost.mayHaveTakenEffect, true);
  const {values} = (await client.range({key: 'key'})).unwrap();
  assert.equal(values[0]?.value, 'value');
});

test('a write is sent to the next endpoint only if nothing was sent before', async () => {
  const service = await startService();
  const gone = await startKeyValue({host: '127.0.0.1', port: 0});
  await gone.close();
  const client = createClient([gone.address, service.address]);
  assert.ok((await client.put('key', 'value')).isOk());
  const frozen = await listen(createServer(() => undefined));
  const stuck = createClient([frozen, service.address], {timeoutMs: 2_000});
  const failure = (await stuck.put('key', 'again')).unwrapErr();
  assert.equal(failure.reason, PlatformFailureReason.OutcomeUnknown);
  assert.equal(service.readCounts().put, 1);
  assert.ok((await stuck.put('key', 'again')).isOk());
  const alone = createClient([gone.address]);
  const refused = (await alone.put('key', 'value')).unwrapErr();
  assert.equal(refused.reason, PlatformFailureReason.Unreachable);
  assert.equal(refused.mayHaveTakenEffect, false);
});

test('a read is retried at the next endpoint if the first one is frozen', async () => {
  const service = await startService();
  const frozen = await listen(createServer(() => undefined));
  const client = createClient([frozen, service.address], {timeoutMs: 3_000});
  assert.ok((await client.range({key: 'key'})).isOk());
});

test('an expired lease deletes its keys and fails later calls with LeaseGone', async () => {
  const service = await startService();
  const client = createClient([service.address]);
  const {lease} = (await client.grantLease(60)).unwrap();
  await client.put('key', 'value', lease);
  assert.equal((await client.keepLeaseAlive(lease)).unwrap().ttlSeconds, 60);
  service.setFaults({lapseLeases: true});
  assert.deepEqual((await client.range({key: 'key'})).unwrap().values, []);
  for (const result of [
    await client.keepLeaseAlive(lease),
    await client.put('key', 'value', lease),
    await client.revokeLease(lease),
  ]) {
    assert.equal(result.unwrapErr().reason, PlatformFailureReason.LeaseGone);
  }
});

test('a lease expires unless it is renewed', async () => {
  const client = createClient([(await startService()).address]);
  const {lease} = (await client.grantLease(1)).unwrap();
  await client.put('key', 'value', lease);
  const keyExists = async () =>
    (await client.range({key: 'key'})).unwrap().values.length > 0;
  while (await keyExists()) await sleep(50);
});

test('a watch reports every change once, across disconnects', async () => {
  const service = await startService();
  const client = createClient([service.address]);
  const ending = new AbortController();
  const watch = client.watch(
    {key: 'w/', isPrefix: true, fromRevision: 1},
    ending.signal,
  );
  const written: string[] = [];
  const seen: string[] = [];
  const write = async () => {
    written.push(`w/${written.length}`);
    await client.put(written.at(-1) ?? '', 'value');
  };
  for await (const message of watch) {
    if (message.kind === WatchKind.Opened) await write();
    if (message.kind !== WatchKind.Events) continue;
    seen.push(...message.events.map(({kv}) => kv.key));
    service.setFaults({dropWatches: true});
    // Written while the watch is disconnected; reported after it reopens.
    await write();
    if (seen.length >= 6) ending.abort();
  }
  assert.deepEqual(seen, written.slice(0, seen.length));
});

test('a watch that cannot resume reports a gap and continues', async () => {
  const service = await startService();
  const client = createClient([service.address]);
  await client.put('w', '1');
  await client.put('w', '2');
  await fetch(`${service.address}/v3/kv/compaction`, {
    method: 'POST',
    body: JSON.stringify({revision: '3'}),
  });
  const ending = new AbortController();
  const kinds: WatchKind[] = [];
  for await (const message of client.watch(
    {key: 'w', fromRevision: 2},
    ending.signal,
  )) {
    kinds.push(message.kind);
    if (message.kind === WatchKind.Opened) await client.put('w', '3');
    if (message.kind === WatchKind.Events) ending.abort();
  }
  assert.deepEqual(kinds, [WatchKind.Gap, WatchKind.Opened, WatchKind.Events]);
});

test('a watch reports a gap if the service was restored to an earlier revision', async () => {
  const client = createClient([(await startService()).address]);
  const ending = new AbortController();
  const query = {key: 'w', fromRevision: 1_000};
  const messages: WatchMessage[] = [];
  for await (const message of client.watch(query, ending.signal)) {
    messages.push(message);
    ending.abort();
  }
  assert.deepEqual(messages, [{kind: WatchKind.Gap, revision: 1}]);
});

test('a watch receives all events over one call', async () => {
  const service = await startService();
  const client = createClient([service.address]);
  const ending = new AbortController();
  const query = {key: 'w', fromRevision: 1};
  let eventMessages = 0;
  for await (const message of client.watch(query, ending.signal)) {
    if (message.kind === WatchKind.Events) eventMessages += 1;
    if (eventMessages === 3) ending.abort();
    else await client.put('w', 'value');
  }
  assert.equal(service.readCounts().watch, 1);
});

test('any response of the service becomes a result or a typed failure', async () => {
  let answer = {status: 200, text: ''};
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(answer.status);
    response.end(answer.text);
  });
  const client = createClient([await listen(server)]);
  const shape = fc.oneof(
    fc.string(),
    fc.json(),
    fc.constantFrom(
      '{"header":{"revision":"-1"}}',
      '{"header":{"revision":"9999999999999999"}}',
      '{"header":{"revision":"1"},"kvs":[{"key":"%%%"}]}',
      '{"header":{"revision":"1"},"succeeded":true,"responses":[{}]}',
      '{"header":{"revision":"1"},"succeeded":true}',
      '{"result":{"ID":"x","TTL":"1"}}',
      '{"error":"x","code":5,"message":"lease"}',
    ),
  );
  const status = fc.constantFrom(200, 200, 400, 404, 408, 500, 503);
  await fc.assert(
    fc.asyncProperty(status, shape, async (code, text) => {
      answer = {status: code, text};
      const results = [
        await client.range({key: 'key'}),
        await client.put('key', 'value'),
        await client.txn(createIfAbsent('key', 'value')),
        await client.grantLease(1),
        await client.keepLeaseAlive('1'),
      ];
      for (const result of results) {
        if (result.isOk()) continue;
        assert.ok(
          Object.values(PlatformFailureReason).includes(result.error.reason),
        );
      }
      assert.ok(results[2]?.isErr());
      const ending = new AbortController();
      const query = {key: 'w', fromRevision: 1};
      for await (const message of client.watch(query, ending.signal)) {
        assert.ok(Object.values(WatchKind).includes(message.kind));
        ending.abort();
      }
    }),
    {seed: 7, numRuns: 60},
  );
});
