import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {FailureCode, JobState, RunStatus} from '@goldcrestpier/protocol';
import {
  assertNoDuplicateStarts,
  assertAnswerMatchesRecords,
  assertComplete,
  countStarts,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  createSetEdit,
  planThreeZones,
  ClusterFixture,
  waitUntil,
  type JobBody,
} from '../src/index.js';

let fixture: ClusterFixture;

before(async () => {
  const zones = planThreeZones({
    runnersPerZone: 2,
    workersPerZone: 2,
    worker: {processors: 8, memoryMb: 16_384, accelerators: 1},
  });
  fixture = await ClusterFixture.launch({zones});
  const revision = await fixture.editSettings('e1-1', [
    createSetEdit('/', 'workers.lease_ms', 2_000),
    createSetEdit('/', 'workers.renew_ms', 500),
  ]);
  await fixture.waitForRevision(revision);
});

after(() => fixture.close());

function createWorkerJob(tasks: number, runMs: number): JobBody {
  const worker = {processors: 1, memoryMb: 512, accelerators: 0};
  return {
    deadlineMs: 30_000,
    tasks: Array.from({length: tasks}, (_, echo) => ({
      worker,
      declaredMs: runMs,
      payload: {runMs, echo},
    })),
  };
}

test('one idempotency key sent to all six instances at once makes one job', async () => {
  const job = createJob(20, 30);
  const replies = await Promise.all(
    fixture.entries.map(entry =>
      fixture.createCaller(entry).submitWithIdempotencyKey('tag-1', job),
    ),
  );
  const answers = replies.map(expectAnswer);
  for (const answer of answers) {
    assertComplete(answer, job);
    assert.deepEqual(answer, answers[0]);
  }
  const starts = await fixture.cluster.readStarts();
  assert.equal(starts.length, 20);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('a job whose claim response was lost runs once', async () => {
  const {keyValue} = fixture.cluster.platform;
  const before = (await fixture.cluster.readStarts()).length;
  const job = createJob(10, 30);
  await keyValue.setFaults({loseAnswers: 2});
  const sent = fixture.entries.map(entry =>
    fixture.createCaller(entry).submitWithIdempotencyKey('tag-lost', job),
  );
  await pause(1_000);
  await keyValue.setFaults({});
  for (const reply of await Promise.all(sent)) {
    if (reply.kind !== ReplyKind.Failure) continue;
    assert.equal(reply.failure.ran, RunStatus.MayHaveRun);
  }
  await waitUntil('the answer at every instance', async () => {
    const replies = await Promise.all(
      fixture.entries.map(entry =>
        fixture.createCaller(entry).submitWithIdempotencyKey('tag-lost', job),
      ),
    );
    return replies.every(({kind}) => kind === ReplyKind.Answer);
  });
  assert.equal((await fixture.cluster.readStarts()).length, before + 10);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('during a platform outage idempotency keys are refused with a retry delay, sessions work, and the key works afterwards', async () => {
  const job = createJob(5, 20);
  const before = (await fixture.cluster.readStarts()).length;
  await fixture.cluster.setPlatformDown(true);
  for (const entry of fixture.entries) {
    const reply = await fixture
      .createCaller(entry)
      .submitWithIdempotencyKey('tag-out', job);
    const failure = expectFailure(reply);
    assert.equal(failure.code, FailureCode.PlatformUnavailable);
    assert.equal(failure.final, false);
    assert.notEqual(failure.retryAfterMs, undefined);
  }
  assert.equal((await fixture.cluster.readStarts()).length, before);
  const caller = fixture.createCallerTo('e2-2');
  const session = await caller.openSession();
  assertComplete(expectAnswer(await caller.submit(session, 'on', job)), job);
  await fixture.cluster.setPlatformDown(false);
  // Each instance retries the platform on its own schedule.
  for (const entry of fixture.entries) {
    await waitUntil('the key to be accepted', async () => {
      const reply = await fixture
        .createCaller(entry)
        .submitWithIdempotencyKey('tag-out', job);
      if (reply.kind !== ReplyKind.Answer) return false;
      assertComplete(reply.answer, job);
      return true;
    });
  }
  assert.equal((await fixture.cluster.readStarts()).length, before + 10);
});

test('an idempotency key with other content is a conflict', async () => {
  const reply = await fixture
    .createCallerTo('e2-1')
    .submitWithIdempotencyKey('tag-1', createJob(3, 30));
  assert.equal(expectFailure(reply).code, FailureCode.ContentConflict);
});

test('tasks on guarded workers that run longer than their lease complete by renewing it', async () => {
  const caller = fixture.createCallerTo('e1-1');
  const session = await caller.openSession();
  const job = createWorkerJob(12, 3_000);
  assertComplete(expectAnswer(await caller.submit(session, 'long', job)), job);
  assert.equal(await countStarts(fixture.cluster, session, 'long'), 12);
});

test('the job fails when a worker freezes, and no task starts twice', async () => {
  const caller = fixture.createCallerTo('e3-1');
  const session = await caller.openSession();
  const job = {...createWorkerJob(12, 1_500), deadlineMs: 8_000};
  const reply = caller.submit(session, 'frozen', job, {attempt: 1});
  await fixture.waitForStarts(session, 'frozen', 12);
  const starts = await fixture.cluster.readStarts();
  const started = starts.find(each => each.job === `${session}/frozen`);
  const frozen = fixture.cluster.server(started?.server ?? '');
  await frozen.admin.setFaults({frozen: true});
  const answer = expectAnswer(await reply);
  await fixture.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  await assertAnswerMatchesRecords(fixture.cluster, answer);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('leases of worker tasks lapse when their owner is killed, and no task starts again', async () => {
  const owner = fixture.cluster.entry('e2-1');
  const session = await fixture.createCaller(owner).openSession();
  const job = createWorkerJob(6, 20_000);
  await fixture
    .createCaller(owner)
    .submit(session, 'lapse', job, {waitMs: 300});
  await fixture.waitForStarts(session, 'lapse', 6);
  await owner.kill();
  await fixture.cluster.instanceLists.remove(owner.name);
  const starts = await fixture.cluster.readStarts();
  const lapsing = starts.filter(({job}) => job === `${session}/lapse`);
  assert.equal(lapsing.length, 6);
  const other = fixture.createCallerTo('e1-2');
  const fresh = await other.openSession();
  // Each task needs all processors of a worker, so it only fits on a worker
  // whose leases have lapsed.
  const worker = {processors: 8, memoryMb: 512, accelerators: 0};
  const tasks = createWorkerJob(6, 300).tasks.map(task => ({...task, worker}));
  const exclusiveJob = {deadlineMs: 30_000, tasks};
  let turn = 0;
  await waitUntil('the workers to be free again', async () => {
    turn += 1;
    const reply = await other.submit(fresh, `after-${turn}`, exclusiveJob);
    assertComplete(expectAnswer(reply), exclusiveJob);
    const servers = (await fixture.cluster.readStarts())
      .filter(({job}) => job.startsWith(`${fresh}/`))
      .map(({server}) => server);
    return lapsing.every(({server}) => servers.includes(server));
  });
  const again = expectFailure(await other.submit(session, 'lapse', job));
  assert.equal(again.ran, RunStatus.MayHaveRun);
  assert.equal(await countStarts(fixture.cluster, session, 'lapse'), 6);
  await assertNoDuplicateStarts(fixture.cluster);
});
