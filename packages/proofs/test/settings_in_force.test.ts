import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {failureSchema, FailureCode} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {PartitionKind, type EntryProcess} from '@goldcrestpier/standins';
import {
  createSetEdit,
  planThreeZones,
  ClusterFixture,
  waitUntil,
} from '../src/index.js';

const REVISION = 'goldcrestpier_settings_revision';

let fixture: ClusterFixture;

before(async () => {
  const zones = planThreeZones({
    runnersPerZone: 1,
  }).map(zone => ({
    ...zone,
    entries: zone.entries.map(entry => ({
      ...entry,
      startsLater: entry.name === 'e3-2',
    })),
  }));
  fixture = await ClusterFixture.launch({isRelayed: true, zones}, 5);
});

after(() => fixture.close());

function setMaxStarts(value: number) {
  return createSetEdit('/', 'retry.max_starts', value);
}

/**
 * Returns a check that fails when a revision is older than at the last check.
 */
function createRevisionCheck(entries: readonly EntryProcess[]) {
  const seen = new Map<string, number>();
  return async () => {
    for (const entry of entries) {
      const found = await fixture.readMetric(entry, REVISION);
      assert.ok(found >= (seen.get(entry.name) ?? 0), entry.name);
      seen.set(entry.name, found);
    }
    return seen;
  };
}

test('of two concurrent edits one succeeds, and the other is a conflict that names the newer revision', async t => {
  const base = await fixture.editSettings('e1-1', [setMaxStarts(4)]);
  const replies = await Promise.all(
    ['e1-1', 'e2-1'].map((name, index) =>
      fixture.sendSettingsEdit(name, {
        editId: `race-${name}`,
        by: `operator-${index}`,
        expectedRevision: base,
        edits: [setMaxStarts(5 + index)],
      }),
    ),
  );
  const [accepted] = replies.filter(({statusCode}) => statusCode === 200);
  const [rejected] = replies.filter(({statusCode}) => statusCode === 409);
  assert.ok(
    accepted !== undefined && rejected !== undefined,
    JSON.stringify(replies),
  );
  const {revision} = accepted.body as {revision: number};
  const conflict = failureSchema.parse(rejected.body);
  assert.equal(conflict.code, FailureCode.SettingsConflict);
  assert.deepEqual(
    conflict.newer?.map(each => each.revision),
    [revision],
  );
  const startedAt = readClock();
  await fixture.waitForRevision(revision);
  const tookMs = Math.round(readClock() - startedAt);
  t.diagnostic(`applied by every instance ${tookMs} ms after the response`);
});

test('an edit whose response was lost after the write is applied once', async () => {
  const {keyValue} = fixture.cluster.platform;
  const before = await fixture.editSettings('e1-1', [setMaxStarts(6)]);
  await keyValue.setFaults({loseAnswers: 1});
  const edit = {editId: 'lost-answer', by: 'proofs', edits: [setMaxStarts(7)]};
  const sent = fixture.sendSettingsEdit('e2-1', edit);
  await waitUntil('the write to have happened', async () => {
    const found = await fixture.readMetric(
      fixture.cluster.entry('e1-1'),
      REVISION,
    );
    return found > before;
  });
  await keyValue.setFaults({});
  await sent;
  const again = await fixture.sendSettingsEdit('e3-1', edit);
  assert.equal(again.statusCode, 200, JSON.stringify(again.body));
  const {revision} = again.body as {revision: number};
  assert.equal(revision, before + 1);
  await fixture.waitForRevision(revision);
});

test('an instance that starts during a platform outage gets the newest revision from its peers', async () => {
  const revision = await fixture.editSettings('e2-2', [setMaxStarts(8)]);
  await fixture.waitForRevision(revision);
  await fixture.cluster.setPlatformDown(true);
  const refused = await fixture.sendSettingsEdit('e1-1', {
    editId: 'in-the-outage',
    by: 'proofs',
    edits: [setMaxStarts(2)],
  });
  assert.notEqual(refused.statusCode, 200);
  const newInstance = fixture.cluster.entry('e3-2');
  // The instance list is down as well, so it knows no servers and isn't ready.
  newInstance.launch();
  await waitUntil('the new instance to have the revision', async () => {
    const found = await fixture
      .readMetric(newInstance, REVISION)
      .catch(() => NaN);
    return found === revision;
  });
  await fixture.cluster.setPlatformDown(false);
  await newInstance.waitUntilReady();
  const next = await fixture.editSettings('e3-2', [setMaxStarts(9)]);
  assert.equal(next, revision + 1);
  await fixture.waitForRevision(next);
});

test('a zone that was partitioned catches up, and no revision ever decreases', async t => {
  const readRevisions = createRevisionCheck(fixture.entries);
  const before = await fixture.editSettings('e1-1', [setMaxStarts(3)]);
  await fixture.waitForRevision(before);
  await readRevisions();
  fixture.cluster.partitionZone('batangas-3', PartitionKind.Silent);
  const revision = await fixture.editSettings('e1-1', [setMaxStarts(4)]);
  await waitUntil('the other zones to have the revision', async () => {
    const seen = await readRevisions();
    return ['e1-2', 'e2-1', 'e2-2'].every(name => seen.get(name) === revision);
  });
  const cutOff = await readRevisions();
  assert.equal(cutOff.get('e3-1'), before);
  fixture.cluster.healZone('batangas-3');
  const startedAt = readClock();
  await waitUntil('the zone to have caught up', async () => {
    const seen = await readRevisions();
    return fixture.entries.every(({name}) => seen.get(name) === revision);
  });
  const tookMs = Math.round(readClock() - startedAt);
  t.diagnostic(`caught up ${tookMs} ms after the partition`);
});

test('an edit that is sent again after a newer one changes nothing', async () => {
  const first = {editId: 'replayed', by: 'proofs', edits: [setMaxStarts(5)]};
  const answer = await fixture.sendSettingsEdit('e1-1', first);
  const {revision} = answer.body as {revision: number};
  const newer = await fixture.editSettings('e2-1', [setMaxStarts(6)]);
  assert.equal(newer, revision + 1);
  const replay = await fixture.sendSettingsEdit('e3-1', first);
  assert.equal((replay.body as {revision: number}).revision, revision);
  await fixture.waitForRevision(newer);
  const readRevisions = createRevisionCheck(fixture.entries);
  const seen = await readRevisions();
  for (const {name} of fixture.entries) assert.equal(seen.get(name), newer);
});
