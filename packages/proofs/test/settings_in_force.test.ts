import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {failureSchema, FailureCode} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {
  PartitionKind,
  planZones,
  type EntryProcess,
} from '@goldcrestpier/standins';
import {setKey, Stage, waitUntil} from '../src/index.js';

const REVISION = 'goldcrestpier_settings_revision';

let stage: Stage;

before(async () => {
  const zones = planZones({
    zones: ['batangas-1', 'batangas-2', 'batangas-3'],
    entriesPerZone: 2,
    runnersPerZone: 1,
  }).map(zone => ({
    ...zone,
    entries: zone.entries.map(entry => ({
      ...entry,
      startsLater: entry.name === 'e3-2',
    })),
  }));
  stage = await Stage.open({isRelayed: true, zones}, 5);
});

after(() => stage.close());

function setStarts(value: number) {
  return setKey('/', 'retry.max_starts', value);
}

/** Fails when a look finds an older revision than the look before. */
function watchRevisions(entries: readonly EntryProcess[]) {
  const seen = new Map<string, number>();
  return async () => {
    for (const entry of entries) {
      const found = await stage.readMetric(entry, REVISION);
      assert.ok(found >= (seen.get(entry.name) ?? 0), entry.name);
      seen.set(entry.name, found);
    }
    return seen;
  };
}

test('of two operators who race, one wins and the other is shown what was changed', async t => {
  const base = await stage.edit('e1-1', [setStarts(4)]);
  const replies = await Promise.all(
    ['e1-1', 'e2-1'].map((name, index) =>
      stage.sendEdit(name, {
        editId: `race-${name}`,
        by: `operator-${index}`,
        expectedRevision: base,
        edits: [setStarts(5 + index)],
      }),
    ),
  );
  const [won] = replies.filter(({statusCode}) => statusCode === 200);
  const [lost] = replies.filter(({statusCode}) => statusCode === 409);
  assert.ok(won !== undefined && lost !== undefined, JSON.stringify(replies));
  const {revision} = won.body as {revision: number};
  const conflict = failureSchema.parse(lost.body);
  assert.equal(conflict.code, FailureCode.SettingsConflict);
  assert.deepEqual(
    conflict.newer?.map(each => each.revision),
    [revision],
  );
  const startedAt = readClock();
  await stage.waitForRevision(revision);
  const tookMs = Math.round(readClock() - startedAt);
  t.diagnostic(`in force everywhere ${tookMs} ms after the answer`);
});

test('an edit whose answer was lost after the write is made once', async () => {
  const {keyValue} = stage.cluster.platform;
  const before = await stage.edit('e1-1', [setStarts(6)]);
  await keyValue.setFaults({loseAnswers: 1});
  const edit = {editId: 'lost-answer', by: 'proofs', edits: [setStarts(7)]};
  const sent = stage.sendEdit('e2-1', edit);
  await waitUntil('the write to have happened', async () => {
    const found = await stage.readMetric(stage.cluster.entry('e1-1'), REVISION);
    return found > before;
  });
  await keyValue.setFaults({});
  await sent;
  const again = await stage.sendEdit('e3-1', edit);
  assert.equal(again.statusCode, 200, JSON.stringify(again.body));
  const {revision} = again.body as {revision: number};
  assert.equal(revision, before + 1);
  await stage.waitForRevision(revision);
});

test('an instance born in an outage takes the newest revision from its peers', async () => {
  const revision = await stage.edit('e2-2', [setStarts(8)]);
  await stage.waitForRevision(revision);
  await stage.cluster.setPlatformDown(true);
  const refused = await stage.sendEdit('e1-1', {
    editId: 'in-the-outage',
    by: 'proofs',
    edits: [setStarts(2)],
  });
  assert.notEqual(refused.statusCode, 200);
  const born = stage.cluster.entry('e3-2');
  // The list is out too, so it knows no servers and is not ready yet.
  born.launch();
  await waitUntil('the newcomer to have the revision', async () => {
    const found = await stage.readMetric(born, REVISION).catch(() => NaN);
    return found === revision;
  });
  await stage.cluster.setPlatformDown(false);
  await born.waitUntilReady();
  const next = await stage.edit('e3-2', [setStarts(9)]);
  assert.equal(next, revision + 1);
  await stage.waitForRevision(next);
});

test('a zone that was cut off catches up and never goes back', async t => {
  const look = watchRevisions(stage.entries);
  const before = await stage.edit('e1-1', [setStarts(3)]);
  await stage.waitForRevision(before);
  await look();
  stage.cluster.partitionZone('batangas-3', PartitionKind.Silent);
  const revision = await stage.edit('e1-1', [setStarts(4)]);
  await waitUntil('the others to have it', async () => {
    const seen = await look();
    return ['e1-2', 'e2-1', 'e2-2'].every(name => seen.get(name) === revision);
  });
  const cutOff = await look();
  assert.equal(cutOff.get('e3-1'), before);
  stage.cluster.healZone('batangas-3');
  const startedAt = readClock();
  await waitUntil('the zone to have caught up', async () => {
    const seen = await look();
    return stage.entries.every(({name}) => seen.get(name) === revision);
  });
  const tookMs = Math.round(readClock() - startedAt);
  t.diagnostic(`caught up ${tookMs} ms after the cut`);
});

test('an old edit that is replayed changes nothing', async () => {
  const first = {editId: 'replayed', by: 'proofs', edits: [setStarts(5)]};
  const answer = await stage.sendEdit('e1-1', first);
  const {revision} = answer.body as {revision: number};
  const newer = await stage.edit('e2-1', [setStarts(6)]);
  assert.equal(newer, revision + 1);
  const replay = await stage.sendEdit('e3-1', first);
  assert.equal((replay.body as {revision: number}).revision, revision);
  await stage.waitForRevision(newer);
  const look = watchRevisions(stage.entries);
  const seen = await look();
  for (const {name} of stage.entries) assert.equal(seen.get(name), newer);
});
