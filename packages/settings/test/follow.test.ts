import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SettingsAnswer} from '@goldcrestpier/peers';
import type {KeyValueClient} from '@goldcrestpier/platform';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import {silentLogger, sleep} from '@goldcrestpier/runtime';
import fc from 'fast-check';
import {Err, Ok} from 'ts-results-es';
import {
  SettingsFollower,
  SettingsOrigin,
  type FollowerOptions,
} from '../src/index.js';
import {
  createClient,
  lifecycle,
  startService,
  waitUntil,
  writeWaiting,
} from './service_fixture.js';

const REVISION_KEY = 'goldcrestpier/settings/tree/revision';

function startFollower(
  client: KeyValueClient,
  more: Partial<FollowerOptions> = {},
): SettingsFollower {
  const follower = new SettingsFollower({
    client,
    logger: silentLogger,
    lifecycle,
    pollMs: 50,
    fetchFromPeer: () => {
      const failure = createFailure(FailureCode.InternalFault, {part: 'test'});
      return Promise.resolve(Err(failure));
    },
    ...more,
  });
  follower.start();
  return follower;
}

/** Peers that answer from `source`, each call counted. */
function fetchFrom(source: SettingsFollower) {
  const calls = {count: 0};
  const fetchFromPeer = (known: number) => {
    calls.count += 1;
    return Promise.resolve(Ok(source.snapshotFor(known)));
  };
  return {calls, fetchFromPeer};
}

function waitingOf(follower: SettingsFollower): number {
  return follower.current.forRoot().queue.maxWaiting;
}

/** Every revision that comes into force at `follower`. */
function recordRevisions(follower: SettingsFollower): number[] {
  const revisions: number[] = [];
  void follower.changes.observe(({revision}) => void revisions.push(revision));
  return revisions;
}

function assertRising(revisions: readonly number[]): void {
  for (const [index, revision] of revisions.entries()) {
    assert.ok(revision > (revisions[index - 1] ?? 0), revisions.join(' '));
  }
}

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

test('others take the settings from peers and never call the platform', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const watcher = startFollower(client);
  watcher.setWatching(true);
  const {calls, fetchFromPeer} = fetchFrom(watcher);
  const unused = await startService();
  const other = startFollower(createClient(unused.address), {fetchFromPeer});
  for (const value of [1, 2, 3]) {
    const revision = await writeWaiting(client, value);
    await waitUntil(() => watcher.current.revision === revision);
    for (const peer of ['a', 'b', 'c']) {
      other.noticeRevision(watcher.current.revision, peer);
    }
    await waitUntil(() => other.current.revision === revision);
    assert.equal(waitingOf(other), value);
  }
  assert.equal(calls.count, 3);
  assert.equal(other.origin, SettingsOrigin.Peer);
  const counts = Object.values(unused.readCounts());
  assert.deepEqual(new Set(counts), new Set([0]));
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

test('a peer that fails or lies is left alone until it is ahead again', async () => {
  const answers = new Map<string, SettingsAnswer>([
    ['empty', {revision: 9}],
    ['broken', {revision: 9, nodes: {'/': {kind: 'service'}}}],
    ['good', {revision: 3, nodes: {'/': {kind: 'group', values: {}}}}],
  ]);
  const asked: string[] = [];
  const fetchFromPeer: FollowerOptions['fetchFromPeer'] = (_, peer) => {
    asked.push(peer);
    const answer = answers.get(peer);
    const failure = createFailure(FailureCode.OwnerUnreachable, {owner: peer});
    return Promise.resolve(answer ? Ok(answer) : Err(failure));
  };
  const follower = startFollower(createClient(), {fetchFromPeer});
  follower.noticeRevision(3, 'good');
  for (const peer of ['silent', 'empty', 'broken']) {
    follower.noticeRevision(9, peer);
  }
  await waitUntil(() => follower.current.revision === 3);
  assert.deepEqual([...asked].sort(), ['broken', 'empty', 'good', 'silent']);
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

test('whatever peers say, revisions in force only rise', async () => {
  const nodes = fc.oneof(
    fc.constant({'/': {kind: 'group', values: {}}}),
    fc.dictionary(fc.constantFrom('/', '/a'), fc.jsonValue()),
  );
  const answer = fc.record({revision: fc.nat(20), nodes}, {requiredKeys: []});
  await fc.assert(
    fc.asyncProperty(fc.array(answer, {maxLength: 30}), async answers => {
      const child = lifecycle.createChild('drawn');
      let asked = 0;
      const follower = startFollower(createClient(), {
        lifecycle: child,
        fetchFromPeer: () => {
          const next = {revision: 0, ...answers[asked]};
          asked += 1;
          return Promise.resolve(Ok(next));
        },
      });
      const revisions = recordRevisions(follower);
      while (asked < answers.length) {
        follower.noticeRevision(1_000 + asked, 'peer');
        await Promise.resolve();
      }
      await child.close();
      assertRising(revisions);
    }),
    {seed: 21, numRuns: 40},
  );
});
