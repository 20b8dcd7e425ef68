import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SettingsAnswer} from '@goldcrestpier/peers';
import type {KeyValueClient} from '@goldcrestpier/platform';
import {sleep} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {SettingsOrigin} from '../src/index.js';
import {
  createClient,
  startService,
  waitUntil,
  writeMaxWaiting,
} from './service_fixture.js';

import {
  assertIncreasing,
  createPeerFetch,
  recordRevisions,
  startFollower,
  getMaxWaiting,
} from './follower_fixture.js';

const REVISION_KEY = 'goldcrestpier/settings/tree/revision';

test('a watching instance applies edits from the watch without reading the tree again', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const follower = startFollower(client, {pollMs: 60_000});
  const revisions = recordRevisions(follower);
  follower.setWatching(true);
  await waitUntil(() => follower.origin === SettingsOrigin.Platform);
  await waitUntil(() => service.readCounts().watch === 1);
  const before = service.readCounts().range;
  for (const value of [1, 2, 3]) {
    const revision = await writeMaxWaiting(client, value);
    await waitUntil(() => follower.current.revision === revision);
    assert.equal(getMaxWaiting(follower), value);
  }
  assert.equal(service.readCounts().range, before);
  assert.deepEqual(revisions, [1, 2, 3]);
});

test('an instance started during an outage fetches the latest settings from its peers', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const existing = startFollower(client);
  existing.setWatching(true);
  await writeMaxWaiting(client, 4);
  await waitUntil(() => existing.current.revision === 1);
  service.setFaults({down: true});
  const {fetchFromPeer} = createPeerFetch(existing);
  const joining = startFollower(createClient(service.address), {fetchFromPeer});
  joining.setWatching(true);
  joining.recordPeerRevision(1, 'existing');
  await waitUntil(() => joining.current.revision === 1);
  assert.equal(getMaxWaiting(joining), 4);
  service.setFaults({});
  await writeMaxWaiting(client, 5);
  await waitUntil(
    () => getMaxWaiting(existing) === 5 && getMaxWaiting(joining) === 5,
  );
});

test('neither peers nor a lagging endpoint can revert settings to an older revision', async () => {
  const service = await startService();
  const lagging = await startService();
  const client = createClient(service.address);
  await writeMaxWaiting(createClient(lagging.address), 1);
  for (const value of [2, 3, 4]) await writeMaxWaiting(client, value);
  const replay: SettingsAnswer = {
    revision: 2,
    nodes: {'/': {kind: 'group', values: {queue: {max_waiting: 3}}}},
  };
  let asked = 0;
  const follower = startFollower(
    createClient(service.address, lagging.address),
    {
      fetchFromPeer: () => {
        asked += 1;
        return Promise.resolve(Ok(replay));
      },
    },
  );
  const revisions = recordRevisions(follower);
  follower.setWatching(true);
  await waitUntil(() => follower.current.revision === 3);
  follower.recordPeerRevision(7, 'replaying');
  await waitUntil(() => asked === 1);
  service.setFaults({down: true});
  await waitUntil(() => lagging.readCounts().watch > 0);
  await writeMaxWaiting(createClient(lagging.address), 9);
  await sleep(100);
  assert.equal(getMaxWaiting(follower), 4);
  service.setFaults({});
  lagging.setFaults({down: true});
  await writeMaxWaiting(client, 5);
  await waitUntil(() => getMaxWaiting(follower) === 5);
  assertIncreasing(revisions);
});

test('after the service was restored to an earlier state, edits continue from the applied revision', async () => {
  const service = await startService();
  const client = createClient(service.address);
  await writeMaxWaiting(client, 1);
  const follower = startFollower(client, {
    fetchFromPeer: () =>
      Promise.resolve(Ok({revision: 7, nodes: {'/': {kind: 'group'}}})),
  });
  follower.recordPeerRevision(7, 'peer');
  await waitUntil(() => follower.current.revision === 7);
  follower.setWatching(true);
  await waitUntil(() => service.readCounts().watch === 1);
  const applied = () => follower.current.revision;
  assert.equal(await writeMaxWaiting(client, 2, applied), 8);
  await waitUntil(() => getMaxWaiting(follower) === 2);
  assert.equal(await writeMaxWaiting(client, 3, applied), 9);
  await waitUntil(() => getMaxWaiting(follower) === 3);
});

test('after a gap in the watch the tree is read again', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const follower = startFollower(client, {pollMs: 60_000});
  const revisions = recordRevisions(follower);
  await writeMaxWaiting(client, 1);
  follower.setWatching(true);
  await waitUntil(() => service.readCounts().watch === 1);
  service.setFaults({dropWatches: true});
  for (const value of [2, 3]) await writeMaxWaiting(client, value);
  const {revision} = (await client.range({key: REVISION_KEY})).unwrap();
  await fetch(`${service.address}/v3/kv/compaction`, {
    method: 'POST',
    body: JSON.stringify({revision: String(revision)}),
  });
  await waitUntil(() => getMaxWaiting(follower) === 3);
  await writeMaxWaiting(client, 4);
  await waitUntil(() => getMaxWaiting(follower) === 4);
  assertIncreasing(revisions);
});

test('the poll detects a watch that stays open but delivers no events', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const stuck = Object.create(client) as KeyValueClient;
  // eslint-disable-next-line require-yield
  stuck.watch = async function* (_, signal) {
    await sleep(600_000, signal);
  };
  const follower = startFollower(stuck);
  follower.setWatching(true);
  await waitUntil(() => follower.origin === SettingsOrigin.Platform);
  await writeMaxWaiting(client, 1);
  await waitUntil(() => getMaxWaiting(follower) === 1);
  await writeMaxWaiting(client, 2);
  await waitUntil(() => getMaxWaiting(follower) === 2);
});

test('invalid stored settings leave the last valid ones applied', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const follower = startFollower(client);
  follower.setWatching(true);
  await writeMaxWaiting(client, 1);
  await waitUntil(() => getMaxWaiting(follower) === 1);
  await client.put('goldcrestpier/settings/tree/nodes/later', '{"kind":"new"}');
  await client.put('goldcrestpier/settings/tree/nodes/', '{"kind":"workers"}');
  await sleep(100);
  assert.equal(getMaxWaiting(follower), 1);
  await client.delete({key: 'goldcrestpier/settings/tree/nodes/later'});
  await client.put('goldcrestpier/settings/tree/nodes/', '{"kind":"group"}');
  await writeMaxWaiting(client, 2);
  await waitUntil(() => getMaxWaiting(follower) === 2);
});

test('the watch can be stopped and started again', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const follower = startFollower(client);
  for (const value of [1, 2]) {
    follower.setWatching(true);
    await writeMaxWaiting(client, value);
    await waitUntil(() => getMaxWaiting(follower) === value);
    follower.setWatching(false);
    assert.equal(follower.isWatching, false);
  }
});
