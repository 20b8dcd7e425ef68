import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SettingsAnswer} from '@goldcrestpier/peers';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import fc from 'fast-check';
import {Err, Ok} from 'ts-results-es';
import {SettingsOrigin, type FollowerOptions} from '../src/index.js';
import {
  createClient,
  lifecycle,
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

test('instances that do not watch fetch settings from peers, never from the platform', async () => {
  const service = await startService();
  const client = createClient(service.address);
  const watcher = startFollower(client);
  watcher.setWatching(true);
  const {calls, fetchFromPeer} = createPeerFetch(watcher);
  const unused = await startService();
  const other = startFollower(createClient(unused.address), {fetchFromPeer});
  for (const value of [1, 2, 3]) {
    const revision = await writeMaxWaiting(client, value);
    await waitUntil(() => watcher.current.revision === revision);
    for (const peer of ['a', 'b', 'c']) {
      other.recordPeerRevision(watcher.current.revision, peer);
    }
    await waitUntil(() => other.current.revision === revision);
    assert.equal(getMaxWaiting(other), value);
  }
  assert.equal(calls.count, 3);
  assert.equal(other.origin, SettingsOrigin.Peer);
  const counts = Object.values(unused.readCounts());
  assert.deepEqual(new Set(counts), new Set([0]));
});

test('a peer that fails or sends invalid settings is not asked again until it announces a newer revision', async () => {
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
  follower.recordPeerRevision(3, 'good');
  for (const peer of ['silent', 'empty', 'broken']) {
    follower.recordPeerRevision(9, peer);
  }
  await waitUntil(() => follower.current.revision === 3);
  assert.deepEqual([...asked].sort(), ['broken', 'empty', 'good', 'silent']);
});

test('applied revisions only increase, whatever peers answer', async () => {
  const nodes = fc.oneof(
    fc.constant({'/': {kind: 'group', values: {}}}),
    fc.dictionary(fc.constantFrom('/', '/a'), fc.jsonValue()),
  );
  const answer = fc.record({revision: fc.nat(20), nodes}, {requiredKeys: []});
  await fc.assert(
    fc.asyncProperty(fc.array(answer, {maxLength: 30}), async answers => {
      const child = lifecycle.createChild('generated');
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
        follower.recordPeerRevision(1_000 + asked, 'peer');
        await Promise.resolve();
      }
      await child.close();
      assertIncreasing(revisions);
    }),
    {seed: 21, numRuns: 40},
  );
});
