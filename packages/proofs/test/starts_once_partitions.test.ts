import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {RunStatus} from '@goldcrestpier/protocol';
import {PartitionKind} from '@goldcrestpier/standins';
import {
  assertNoDuplicateStarts,
  assertAnswerMatchesRecords,
  assertComplete,
  countStarts,
  createJob,
  expectAnswer,
  ReplyKind,
  ClusterFixture,
  submitUntilEnded,
  type FinalReply,
} from '../src/index.js';

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch({isRelayed: true});
});

after(() => fixture.close());

function expectFinalAnswer(ending: FinalReply) {
  assert.equal(ending.kind, ReplyKind.Answer, JSON.stringify(ending));
  return expectAnswer(ending);
}

for (const cut of [PartitionKind.Closed, PartitionKind.Silent]) {
  test(`no task starts twice when a zone is partitioned (${cut}) and healed`, async () => {
    const inside = fixture.createCallerTo('e1-1');
    const session = await inside.openSession();
    const key = `cut-${cut}`;
    // More tasks than the zone's own servers can run at once, so that servers of
    // other zones are used.
    const job = createJob(80, 300);
    const first = inside.submit(session, key, job, {attempt: 1, waitMs: 0});
    expectAnswer(await first);
    await pause(200);
    fixture.cluster.partitionZone('batangas-1', cut);
    const outside = fixture.createCallerTo('e2-1');
    const duringReply = await outside.submit(session, key, job, {
      attempt: 1,
      waitMs: 500,
    });
    if (duringReply.kind === ReplyKind.Failure) {
      assert.equal(duringReply.failure.ran, RunStatus.MayHaveRun);
    }
    const fresh = await inside.openSession();
    const local = createJob(10, 20);
    const during = submitUntilEnded([inside], {
      session: fresh,
      key: 'local',
      job: local,
    });
    assertComplete(expectFinalAnswer(await during), local);
    fixture.cluster.healZone('batangas-1');
    const callers = ['e3-1', 'e1-2', 'e2-2'].map(name =>
      fixture.createCallerTo(name),
    );
    const endings = await Promise.all(
      callers.map(caller => submitUntilEnded([caller], {session, key, job})),
    );
    const answers = endings.map(expectFinalAnswer);
    for (const answer of answers) {
      assert.deepEqual(answer, answers[0]);
      await assertAnswerMatchesRecords(fixture.cluster, answer);
    }
    await assertNoDuplicateStarts(fixture.cluster);
    await fixture.waitForMembers(fixture.entries.length);
  });
}

test('tasks of other owners complete once when a holder with outstanding grants is killed', async () => {
  const owner = fixture.createCallerTo('e2-1');
  const session = await owner.openSession();
  const job = createJob(150, 100);
  const reply = owner.submit(session, 'killed', job, {attempt: 1});
  await pause(150);
  await fixture.cluster.entry('e2-2').kill();
  assertComplete(expectAnswer(await reply), job);
  assert.equal(await countStarts(fixture.cluster, session, 'killed'), 150);
  await assertNoDuplicateStarts(fixture.cluster);
  await fixture.cluster.startEntry('e2-2');
  await fixture.waitForMembers(fixture.entries.length);
});

test('no task starts twice when two instances both act as holder of a server', async () => {
  const owner = fixture.createCallerTo('e3-1');
  const session = await owner.openSession();
  const frozen = fixture.cluster.entry('e3-2');
  const own = await fixture.createCaller(frozen).openSession();
  const job = createJob(300, 200);
  const reply = owner.submit(session, 'held', job, {attempt: 1});
  const other = fixture
    .createCaller(frozen)
    .submit(own, 'held', job, {attempt: 1});
  await pause(200);
  frozen.pause();
  await pause(2_500);
  frozen.resume();
  const answers = [expectAnswer(await reply), expectAnswer(await other)];
  for (const answer of answers) {
    await assertAnswerMatchesRecords(fixture.cluster, answer);
  }
  assertComplete(expectAnswer(await reply), job);
  await assertNoDuplicateStarts(fixture.cluster);
});
