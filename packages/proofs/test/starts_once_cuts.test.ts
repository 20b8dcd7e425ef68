import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {RunStatus} from '@goldcrestpier/protocol';
import {PartitionKind} from '@goldcrestpier/standins';
import {
  assertNoDoubledStart,
  assertTrueAnswer,
  assertWhole,
  countStarts,
  createJob,
  expectAnswer,
  ReplyKind,
  Stage,
  submitPatiently,
  type Ending,
} from '../src/index.js';

let stage: Stage;

before(async () => {
  stage = await Stage.open({isRelayed: true});
});

after(() => stage.close());

function expectEnding(ending: Ending) {
  assert.equal(ending.kind, ReplyKind.Job, JSON.stringify(ending));
  return expectAnswer(ending);
}

for (const cut of [PartitionKind.Closed, PartitionKind.Silent]) {
  test(`a zone cut off (${cut}) and healed starts nothing twice, inside or outside`, async () => {
    const inside = stage.callerOf('e1-1');
    const session = await inside.openSession();
    const key = `cut-${cut}`;
    // More than the zone's own servers take at once, so others help.
    const job = createJob(80, 300);
    const first = inside.submit(session, key, job, {attempt: 1, waitMs: 0});
    expectAnswer(await first);
    await pause(200);
    stage.cluster.partitionZone('batangas-1', cut);
    const outside = stage.callerOf('e2-1');
    const far = await outside.submit(session, key, job, {
      attempt: 1,
      waitMs: 500,
    });
    if (far.kind === ReplyKind.Failure) {
      assert.equal(far.failure.ran, RunStatus.MayHaveRun);
    }
    const fresh = await inside.openSession();
    const local = createJob(10, 20);
    const during = submitPatiently([inside], {
      session: fresh,
      key: 'local',
      job: local,
    });
    assertWhole(expectEnding(await during), local);
    stage.cluster.healZone('batangas-1');
    const callers = ['e3-1', 'e1-2', 'e2-2'].map(name => stage.callerOf(name));
    const endings = await Promise.all(
      callers.map(caller => submitPatiently([caller], {session, key, job})),
    );
    const answers = endings.map(expectEnding);
    for (const answer of answers) {
      assert.deepEqual(answer, answers[0]);
      await assertTrueAnswer(stage.cluster, answer);
    }
    await assertNoDoubledStart(stage.cluster);
    await stage.waitForMembers(stage.entries.length);
  });
}

test('a holder killed with grants out loses no task of other owners and doubles none', async () => {
  const owner = stage.callerOf('e2-1');
  const session = await owner.openSession();
  const job = createJob(150, 100);
  const reply = owner.submit(session, 'killed', job, {attempt: 1});
  await pause(150);
  await stage.cluster.entry('e2-2').kill();
  assertWhole(expectAnswer(await reply), job);
  assert.equal(await countStarts(stage.cluster, session, 'killed'), 150);
  await assertNoDoubledStart(stage.cluster);
  await stage.cluster.startEntry('e2-2');
  await stage.waitForMembers(stage.entries.length);
});

test('two instances that both believe they hold a server start nothing twice', async () => {
  const owner = stage.callerOf('e3-1');
  const session = await owner.openSession();
  const frozen = stage.cluster.entry('e3-2');
  const own = await stage.caller(frozen).openSession();
  const job = createJob(300, 200);
  const reply = owner.submit(session, 'held', job, {attempt: 1});
  const other = stage.caller(frozen).submit(own, 'held', job, {attempt: 1});
  await pause(200);
  frozen.pause();
  await pause(2_500);
  frozen.resume();
  const answers = [expectAnswer(await reply), expectAnswer(await other)];
  for (const answer of answers) {
    await assertTrueAnswer(stage.cluster, answer);
  }
  assertWhole(expectAnswer(await reply), job);
  await assertNoDoubledStart(stage.cluster);
});
