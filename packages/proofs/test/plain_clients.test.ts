import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {FailureCode, JobState, RunStatus} from '@goldcrestpier/protocol';
import {planZones} from '@goldcrestpier/standins';
import {
  assertNoDoubledStart,
  assertTrueAnswer,
  assertWhole,
  countStarts,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  setKey,
  Stage,
  waitUntil,
  type JobBody,
} from '../src/index.js';

let stage: Stage;

before(async () => {
  const zones = planZones({
    zones: ['batangas-1', 'batangas-2', 'batangas-3'],
    entriesPerZone: 2,
    runnersPerZone: 2,
    workersPerZone: 2,
    worker: {processors: 8, memoryMb: 16_384, accelerators: 1},
  });
  stage = await Stage.open({zones});
  const revision = await stage.edit('e1-1', [
    setKey('/', 'workers.lease_ms', 2_000),
    setKey('/', 'workers.renew_ms', 500),
  ]);
  await stage.waitForRevision(revision);
});

after(() => stage.close());

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

test('one idempotency key sent to all six instances at once is one job', async () => {
  const job = createJob(20, 30);
  const replies = await Promise.all(
    stage.entries.map(entry => stage.caller(entry).submitPlain('tag-1', job)),
  );
  const answers = replies.map(expectAnswer);
  for (const answer of answers) {
    assertWhole(answer, job);
    assert.deepEqual(answer, answers[0]);
  }
  const starts = await stage.cluster.readStarts();
  assert.equal(starts.length, 20);
  await assertNoDoubledStart(stage.cluster);
});

test('a claim whose answer was lost is resolved and runs once', async () => {
  const {keyValue} = stage.cluster.platform;
  const before = (await stage.cluster.readStarts()).length;
  const job = createJob(10, 30);
  await keyValue.setFaults({loseAnswers: 2});
  const sent = stage.entries.map(entry =>
    stage.caller(entry).submitPlain('tag-lost', job),
  );
  await pause(1_000);
  await keyValue.setFaults({});
  for (const reply of await Promise.all(sent)) {
    if (reply.kind !== ReplyKind.Failure) continue;
    assert.equal(reply.failure.ran, RunStatus.MayHaveRun);
  }
  await waitUntil('the answer at every instance', async () => {
    const replies = await Promise.all(
      stage.entries.map(entry =>
        stage.caller(entry).submitPlain('tag-lost', job),
      ),
    );
    return replies.every(({kind}) => kind === ReplyKind.Job);
  });
  assert.equal((await stage.cluster.readStarts()).length, before + 10);
  await assertNoDoubledStart(stage.cluster);
});

test('while the platform is out a key is refused with Retry-After, sessions go on, and the key works afterwards', async () => {
  const job = createJob(5, 20);
  const before = (await stage.cluster.readStarts()).length;
  await stage.cluster.setPlatformDown(true);
  for (const entry of stage.entries) {
    const reply = await stage.caller(entry).submitPlain('tag-out', job);
    const failure = expectFailure(reply);
    assert.equal(failure.code, FailureCode.PlatformUnavailable);
    assert.equal(failure.final, false);
    assert.notEqual(failure.retryAfterMs, undefined);
  }
  assert.equal((await stage.cluster.readStarts()).length, before);
  const caller = stage.callerOf('e2-2');
  const session = await caller.openSession();
  assertWhole(expectAnswer(await caller.submit(session, 'on', job)), job);
  await stage.cluster.setPlatformDown(false);
  // Each instance tries the platform again in its own time.
  for (const entry of stage.entries) {
    await waitUntil('the key to be taken', async () => {
      const reply = await stage.caller(entry).submitPlain('tag-out', job);
      if (reply.kind !== ReplyKind.Job) return false;
      assertWhole(reply.answer, job);
      return true;
    });
  }
  assert.equal((await stage.cluster.readStarts()).length, before + 10);
});

test('a plain key with other content is a conflict', async () => {
  const reply = await stage
    .callerOf('e2-1')
    .submitPlain('tag-1', createJob(3, 30));
  assert.equal(expectFailure(reply).code, FailureCode.ContentConflict);
});

test('tasks of guarded workers outlive their lease by renewing it', async () => {
  const caller = stage.callerOf('e1-1');
  const session = await caller.openSession();
  const job = createWorkerJob(12, 3_000);
  assertWhole(expectAnswer(await caller.submit(session, 'long', job)), job);
  assert.equal(await countStarts(stage.cluster, session, 'long'), 12);
});

test('workers that freeze lose their tasks visibly, and none starts twice', async () => {
  const caller = stage.callerOf('e3-1');
  const session = await caller.openSession();
  const job = {...createWorkerJob(12, 1_500), deadlineMs: 8_000};
  const reply = caller.submit(session, 'frozen', job, {attempt: 1});
  await waitUntil('all tasks to be started', async () => {
    return (await countStarts(stage.cluster, session, 'frozen')) === 12;
  });
  const starts = await stage.cluster.readStarts();
  const started = starts.find(each => each.job === `${session}/frozen`);
  const frozen = stage.cluster.server(started?.server ?? '');
  await frozen.admin.setFaults({frozen: true});
  const answer = expectAnswer(await reply);
  await stage.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  await assertTrueAnswer(stage.cluster, answer);
  await assertNoDoubledStart(stage.cluster);
});

test('when the owner of worker tasks is killed, their leases lapse and nothing starts again', async () => {
  const owner = stage.cluster.entry('e2-1');
  const session = await stage.caller(owner).openSession();
  const job = createWorkerJob(6, 20_000);
  await stage.caller(owner).submit(session, 'lapse', job, {waitMs: 300});
  await owner.kill();
  await stage.cluster.instanceLists.remove(owner.name);
  const starts = await stage.cluster.readStarts();
  const lapsing = starts.filter(({job}) => job === `${session}/lapse`);
  assert.equal(lapsing.length, 6);
  const other = stage.callerOf('e1-2');
  const fresh = await other.openSession();
  // Each takes all processors of a worker: it fits where the leases lapsed.
  const worker = {processors: 8, memoryMb: 512, accelerators: 0};
  const tasks = createWorkerJob(6, 300).tasks.map(task => ({...task, worker}));
  const whole = {deadlineMs: 30_000, tasks};
  let turn = 0;
  await waitUntil('the workers to be free again', async () => {
    turn += 1;
    const reply = await other.submit(fresh, `after-${turn}`, whole);
    assertWhole(expectAnswer(reply), whole);
    const servers = (await stage.cluster.readStarts())
      .filter(({job}) => job.startsWith(`${fresh}/`))
      .map(({server}) => server);
    return lapsing.every(({server}) => servers.includes(server));
  });
  const again = expectFailure(await other.submit(session, 'lapse', job));
  assert.equal(again.ran, RunStatus.MayHaveRun);
  assert.equal(await countStarts(stage.cluster, session, 'lapse'), 6);
  await assertNoDoubledStart(stage.cluster);
});
