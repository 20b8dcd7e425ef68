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
  writeWaiting,
} from './service_fixture.js';

import {
  assertRising,
  fetchFrom,
  recordRevisions,
  startFollower,
  waitingOf,
} from './follower_fixture.js';

const REVISION_KEY = 'goldcrestpier/settings/tree/revision';

test('a watcher takes each edit from its watch, without reading the tree anew', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const follower = startFollower(client, {pollMs: 60_000});
  const revisions = recordRevisions(follower);
  follower.setWatching(true);
  await waitUntil(() => follower.origin === SettingsOrigin.Platform);
  await waitUntil(() => service.readCounts().watch === 1);
  const before = service.readCounts().range;
  for (const value of [1, 2, 3]) {
    const revision = await writeWaiting(client, value);
    await waitUntil(() => follower.current.revision === revision);
    assert.equal(waitingOf(follower), value);
  }
  assert.equal(service.readCounts().range, before);
  assert.deepEqual(revisions, [1, 2, 3]);
});

test('an instance born in an outage takes the newest settings of its peers', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const old = startFollower(client);
  old.setWatching(true);
  await writeWaiting(client, 4);
  await waitUntil(() => old.current.revision === 1);
  service.setFaults({down: true});
  const {fetchFromPeer} = fetchFrom(old);
  const born = startFollower(createClient(service.address), {fetchFromPeer});
  born.setWatching(true);
  born.noticeRevision(1, 'old');
  await waitUntil(() => born.current.revision === 1);
  assert.equal(waitingOf(born), 4);
  service.setFaults({});
  await writeWaiting(client, 5);
  await waitUntil(() => waitingOf(old) === 5 && waitingOf(born) === 5);
});

test('settings never go back: not by peers, not by a lagging endpoint', async () => {
  const service = await startService();
  const lagging = await startService();
  const client = createClient(service.address);
  await writeWaiting(createClient(lagging.address), 1);
  for (const value of [2, 3, 4]) await writeWaiting(client, value);
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
  follower.noticeRevision(7, 'replaying');
  await waitUntil(() => asked === 1);
  service.setFaults({down: true});
  await waitUntil(() => lagging.readCounts().watch > 0);
  await writeWaiting(createClient(lagging.address), 9);
  await sleep(100);
  assert.equal(waitingOf(follower), 4);
  service.setFaults({});
  lagging.setFaults({down: true});
  await writeWaiting(client, 5);
  await waitUntil(() => waitingOf(follower) === 5);
  assertRising(revisions);
});

test('an edit in a service that was set back counts on from what is in force', async () => {
  const service = await startService();
  const client = createClient(service.address);
  await writeWaiting(client, 1);
  const follower = startFollower(client, {
    fetchFromPeer: () =>
      Promise.resolve(Ok({revision: 7, nodes: {'/': {kind: 'group'}}})),
  });
  follower.noticeRevision(7, 'peer');
  await waitUntil(() => follower.current.revision === 7);
  follower.setWatching(true);
  await waitUntil(() => service.readCounts().watch === 1);
  const applied = () => follower.current.revision;
  assert.equal(await writeWaiting(client, 2, applied), 8);
  await waitUntil(() => waitingOf(follower) === 2);
  assert.equal(await writeWaiting(client, 3, applied), 9);
  await waitUntil(() => waitingOf(follower) === 3);
});

test('after a gap in the watch the tree is read anew', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const follower = startFollower(client, {pollMs: 60_000});
  const revisions = recordRevisions(follower);
  await writeWaiting(client, 1);
  follower.setWatching(true);
  await waitUntil(() => service.readCounts().watch === 1);
  service.setFaults({dropWatches: true});
  for (const value of [2, 3]) await writeWaiting(client, value);
  const {revision} = (await client.range({key: REVISION_KEY})).unwrap();
  await fetch(`${service.address}/v3/kv/compaction`, {
    method: 'POST',
    body: JSON.stringify({revision: String(revision)}),
  });
  await waitUntil(() => waitingOf(follower) === 3);
  await writeWaiting(client, 4);
  await waitUntil(() => waitingOf(follower) === 4);
  assertRising(revisions);
});

test('a watch that is stuck without being broken is found out by a poll', async () => {
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
  await writeWaiting(client, 1);
  await waitUntil(() => waitingOf(follower) === 1);
  await writeWaiting(client, 2);
  await waitUntil(() => waitingOf(follower) === 2);
});

test('stored settings that are not valid here leave the last good ones in force', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const follower = startFollower(client);
  follower.setWatching(true);
  await writeWaiting(client, 1);
  await waitUntil(() => waitingOf(follower) === 1);
  await client.put('goldcrestpier/settings/tree/nodes/later', '{"kind":"new"}');
  await client.put('goldcrestpier/settings/tree/nodes/', '{"kind":"workers"}');
  await sleep(100);
  assert.equal(waitingOf(follower), 1);
  await client.delete({key: 'goldcrestpier/settings/tree/nodes/later'});
  await client.put('goldcrestpier/settings/tree/nodes/', '{"kind":"group"}');
  await writeWaiting(client, 2);
  await waitUntil(() => waitingOf(follower) === 2);
});

test('the watch can be left to another and taken up again', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const follower = startFollower(client);
  for (const value of [1, 2]) {
    follower.setWatching(true);
    await writeWaiting(client, value);
    await waitUntil(() => waitingOf(follower) === value);
    follower.setWatching(false);
    assert.equal(follower.isWatching, false);
  }
});
