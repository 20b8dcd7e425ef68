import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {FailureCode, JobState} from '@goldcrestpier/protocol';
import {Lifecycle, silentLogger, sleep} from '@goldcrestpier/runtime';
import {startKeyValue} from '@goldcrestpier/standins';
import {
  findJournalInterval,
  JournalState,
  JournalWriter,
  KeyValueClient,
  PlatformReason,
  readJournals,
  type JournalContent,
  type JournalEntry,
} from '../src/index.js';

const lifecycle = new Lifecycle('test');
after(() => lifecycle.close());

const AT = new Date('2024-05-06T07:08:09Z');
const OPEN: JournalEntry = {
  session: 'zone-1.entry-1.0123456789ab.1',
  key: 'night-batch',
  team: 'invoicing',
  state: JobState.Running,
  tasks: 690,
  done: 400,
  failed: 1,
};
const FAILED: JournalEntry = {
  ...OPEN,
  state: JobState.Failed,
  failure: FailureCode.TaskFailed,
};

async function startService() {
  const service = await startKeyValue({host: '127.0.0.1', port: 0});
  lifecycle.own('service', () => service.close());
  const client = new KeyValueClient({
    endpoints: [service.address],
    timeoutMs: 5_000,
    logger: silentLogger,
    lifecycle,
  });
  return {service, client};
}

function createWriter(
  client: KeyValueClient,
  content: JournalContent,
  incarnation = 'zone-1.entry-1.0123456789ab',
  owner = lifecycle,
) {
  return new JournalWriter({
    client,
    incarnation,
    describe: () => content,
    readFleetSize: () => 1,
    logger: silentLogger,
    lifecycle: owner,
    shortestIntervalMs: 5,
  });
}

test('an incarnation that ends without a word leaves what it was holding', async () => {
  const {client} = await startService();
  const content = {openJobs: [OPEN], recentFailures: [FAILED]};
  await createWriter(client, content).write(0, AT);
  const [record] = (await readJournals(client)).unwrap();
  assert.deepEqual(record, {
    incarnation: 'zone-1.entry-1.0123456789ab',
    state: JournalState.Running,
    at: AT.toISOString(),
    ...content,
    omitted: 0,
  });
});

test('what has not changed is not written again', async () => {
  const {service, client} = await startService();
  const content = {openJobs: [OPEN], recentFailures: []};
  const writer = createWriter(client, content);
  for (const now of [0, 1, 2]) await writer.write(now, AT);
  assert.equal(service.readCounts().put, 1);
  assert.equal(service.readCounts().leaseGrant, 1);
});

test('a lapsed lease and an outage are got over', async () => {
  const {service, client} = await startService();
  const content = {openJobs: [OPEN], recentFailures: [] as JournalEntry[]};
  const writer = createWriter(client, content);
  await writer.write(0, AT);
  service.setFaults({lapseLeases: true});
  content.recentFailures.push(FAILED);
  const gone = await writer.write(1, AT);
  assert.equal(gone?.reason, PlatformReason.LeaseGone);
  service.setFaults({down: true});
  assert.ok((await writer.write(2, AT)) !== undefined);
  service.setFaults({});
  assert.equal(await writer.write(3, AT), undefined);
  const [record] = (await readJournals(client)).unwrap();
  assert.deepEqual(record?.recentFailures, [FAILED]);
});

test('a planned stop says so, and leaves nothing where nothing was held', async () => {
  const {client} = await startService();
  const child = lifecycle.createChild('instances');
  const held = {openJobs: [], recentFailures: [FAILED]};
  createWriter(client, held, 'zone-1.entry-1.000000000001', child).start();
  const none = {openJobs: [], recentFailures: []};
  createWriter(client, none, 'zone-1.entry-2.000000000002', child).start();
  const read = async () => (await readJournals(client)).unwrap();
  while ((await read()).length < 2) await sleep(5);
  await child.close();
  assert.deepEqual(
    (await read()).map(({incarnation, state}) => ({incarnation, state})),
    [
      {
        incarnation: 'zone-1.entry-1.000000000001',
        state: JournalState.Stopped,
      },
    ],
  );
});

test('too many jobs are counted in place of being listed', async () => {
  const {client} = await startService();
  const openJobs = Array.from({length: 1_000}, () => OPEN);
  await createWriter(client, {openJobs, recentFailures: []}).write(0, AT);
  const [record] = (await readJournals(client)).unwrap();
  assert.equal((record?.openJobs.length ?? 0) + (record?.omitted ?? 0), 1_000);
});

test('journals of a large fleet are read page by page', async () => {
  const {client} = await startService();
  const content = {openJobs: [OPEN], recentFailures: []};
  const names = Array.from(
    {length: 120},
    (_, index) => `zone-1.entry-${index}`,
  );
  for (const name of names) {
    await createWriter(client, content, name).write(0, AT);
  }
  await client.put('goldcrestpier/journal/torn', 'no journal');
  const records = (await readJournals(client)).unwrap();
  assert.equal(records.length, names.length);
});

test('the interval stretches with the fleet', () => {
  assert.equal(findJournalInterval(6), 5_000);
  assert.equal(findJournalInterval(2_000), 100_000);
});
