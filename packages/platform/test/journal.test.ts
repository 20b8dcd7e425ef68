import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode, JobState} from '@goldcrestpier/protocol';
import {silentLogger, sleep} from '@goldcrestpier/runtime';
import {
  computeWriteIntervalMs,
  JournalState,
  JournalWriter,
  type KeyValueClient,
  PlatformFailureReason,
  readJournals,
  type JournalContent,
  type JournalEntry,
} from '../src/index.js';
import {createClient, lifecycle, startService} from './service_fixture.js';

const WRITTEN_AT = new Date('2024-05-06T07:08:09Z');
const OPEN_JOB: JournalEntry = {
  session: 'zone-1.entry-1.0123456789ab.1',
  key: 'night-batch',
  team: 'invoicing',
  state: JobState.Running,
  tasks: 690,
  done: 400,
  failed: 1,
};
const FAILED_JOB: JournalEntry = {
  ...OPEN_JOB,
  state: JobState.Failed,
  failure: FailureCode.TaskFailed,
};

async function startServiceAndClient() {
  const service = await startService();
  return {service, client: createClient([service.address])};
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
    getContent: () => content,
    readFleetSize: () => 1,
    logger: silentLogger,
    lifecycle: owner,
    minIntervalMs: 5,
  });
}

test('the journal of an incarnation that crashed lists the jobs it held', async () => {
  const {client} = await startServiceAndClient();
  const content = {openJobs: [OPEN_JOB], recentFailures: [FAILED_JOB]};
  await createWriter(client, content).write(0, WRITTEN_AT);
  const [record] = (await readJournals(client)).unwrap();
  assert.deepEqual(record, {
    incarnation: 'zone-1.entry-1.0123456789ab',
    state: JournalState.Running,
    at: WRITTEN_AT.toISOString(),
    ...content,
    omitted: 0,
  });
});

test('unchanged content is not written again', async () => {
  const {service, client} = await startServiceAndClient();
  const content = {openJobs: [OPEN_JOB], recentFailures: []};
  const writer = createWriter(client, content);
  for (const now of [0, 1, 2]) await writer.write(now, WRITTEN_AT);
  assert.equal(service.readCounts().put, 1);
  assert.equal(service.readCounts().leaseGrant, 1);
});

test('writes resume after an expired lease and after an outage', async () => {
  const {service, client} = await startServiceAndClient();
  const content = {openJobs: [OPEN_JOB], recentFailures: [] as JournalEntry[]};
  const writer = createWriter(client, content);
  await writer.write(0, WRITTEN_AT);
  service.setFaults({lapseLeases: true});
  content.recentFailures.push(FAILED_JOB);
  const failure = await writer.write(1, WRITTEN_AT);
  assert.equal(failure?.reason, PlatformFailureReason.LeaseGone);
  service.setFaults({down: true});
  assert.ok((await writer.write(2, WRITTEN_AT)) !== undefined);
  service.setFaults({});
  assert.equal(await writer.write(3, WRITTEN_AT), undefined);
  const [record] = (await readJournals(client)).unwrap();
  assert.deepEqual(record?.recentFailures, [FAILED_JOB]);
});

test('a graceful stop marks the journal as stopped, or deletes an empty one', async () => {
  const {client} = await startServiceAndClient();
  const child = lifecycle.createChild('instances');
  const held = {openJobs: [], recentFailures: [FAILED_JOB]};
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

test('jobs beyond the limit are counted instead of listed', async () => {
  const {client} = await startServiceAndClient();
  const openJobs = Array.from({length: 1_000}, () => OPEN_JOB);
  await createWriter(client, {openJobs, recentFailures: []}).write(
    0,
    WRITTEN_AT,
  );
  const [record] = (await readJournals(client)).unwrap();
  assert.equal((record?.openJobs.length ?? 0) + (record?.omitted ?? 0), 1_000);
});

test('reads the journals of a large fleet page by page and skips malformed ones', async () => {
  const {client} = await startServiceAndClient();
  const content = {openJobs: [OPEN_JOB], recentFailures: []};
  const names = Array.from(
    {length: 120},
    (_, index) => `zone-1.entry-${index}`,
  );
  for (const name of names) {
    await createWriter(client, content, name).write(0, WRITTEN_AT);
  }
  await client.put('goldcrestpier/journal/torn', 'no journal');
  const records = (await readJournals(client)).unwrap();
  assert.equal(records.length, names.length);
});

test('the write interval grows with the fleet', () => {
  assert.equal(computeWriteIntervalMs(6), 5_000);
  assert.equal(computeWriteIntervalMs(2_000), 100_000);
});
