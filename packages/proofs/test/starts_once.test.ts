import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FailureCode, JobState, RunStatus} from '@goldcrestpier/protocol';
import {
  assertNoDoubledStart,
  assertWhole,
  countStarts,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  Stage,
} from '../src/index.js';

let stage: Stage;

before(async () => {
  stage = await Stage.open();
});

after(() => stage.close());

test('the same job sent to all six instances at once starts each task once', async () => {
  const session = await stage.callerOf('e1-1').openSession();
  const job = createJob(30, 40);
  const replies = await Promise.all(
    stage.entries.map(entry =>
      stage.caller(entry).submit(session, 'quotes', job, {attempt: 1}),
    ),
  );
  const answers = replies.map(expectAnswer);
  for (const answer of answers) {
    assertWhole(answer, job);
    assert.deepEqual(answer, answers[0]);
  }
  assert.equal(await countStarts(stage.cluster, session, 'quotes'), 30);
  await assertNoDoubledStart(stage.cluster);
});

test('a job whose answer was lost is resubmitted elsewhere and not started again', async () => {
  const session = await stage.callerOf('e1-1').openSession();
  const job = createJob(12, 300);
  const given = new AbortController();
  const lost = stage
    .callerOf('e1-1')
    .submit(session, 'lost', job, {attempt: 1, signal: given.signal});
  setTimeout(() => given.abort(), 150);
  assert.equal((await lost).kind, ReplyKind.Lost);
  const reply = await stage
    .callerOf('e3-2')
    .submit(session, 'lost', job, {attempt: 1});
  assertWhole(expectAnswer(reply), job);
  assert.equal(await countStarts(stage.cluster, session, 'lost'), 12);
  await assertNoDoubledStart(stage.cluster);
});

test('the same key with other content is a conflict and starts nothing', async () => {
  const caller = stage.callerOf('e2-1');
  const session = await caller.openSession();
  expectAnswer(await caller.submit(session, 'key', createJob(2, 10)));
  const reply = await stage
    .callerOf('e1-2')
    .submit(session, 'key', createJob(3, 10));
  const failure = expectFailure(reply);
  assert.equal(failure.code, FailureCode.ContentConflict);
  assert.equal(await countStarts(stage.cluster, session, 'key'), 2);
});

test('a session that has ended refuses every use and says that work may have run', async () => {
  const caller = stage.callerOf('e2-2');
  const session = await caller.openSession();
  const job = createJob(2, 10);
  expectAnswer(await caller.submit(session, 'done', job));
  assert.equal(await caller.endSession(session), 204);
  for (const entry of stage.entries) {
    const failure = expectFailure(
      await stage.caller(entry).submit(session, 'done', job),
    );
    assert.equal(failure.code, FailureCode.SessionEnded);
    assert.equal(failure.ran, RunStatus.MayHaveRun);
  }
  assert.equal(await countStarts(stage.cluster, session, 'done'), 2);
});

test('a connection reset after the start leaves the outcome unknown and is not started again', async () => {
  const caller = stage.callerOf('e1-2');
  const session = await caller.openSession();
  const job = createJob(6, 20);
  await stage.cluster.setFaults({resetAfterStart: true});
  const answer = expectAnswer(await caller.submit(session, 'reset', job));
  await stage.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  for (const task of answer.tasks) {
    assert.equal(task.failure?.code, FailureCode.OutcomeUnknown);
    assert.equal(task.failure?.ran, RunStatus.MayHaveRun);
  }
  assert.equal(await countStarts(stage.cluster, session, 'reset'), 6);
  await assertNoDoubledStart(stage.cluster);
});

test('an owner that was frozen goes on where it was, and nothing starts twice', async () => {
  const owner = stage.cluster.entry('e2-1');
  const session = await stage.caller(owner).openSession();
  const job = createJob(8, 20);
  owner.pause();
  const during = await stage
    .callerOf('e3-1')
    .submit(session, 'frozen', job, {attempt: 1, waitMs: 500});
  const failure = expectFailure(during);
  assert.equal(failure.code, FailureCode.OwnerUnreachable);
  assert.equal(failure.ran, RunStatus.MayHaveRun);
  assert.notEqual(failure.retryAfterMs, undefined);
  owner.resume();
  await stage.waitForMembers(stage.entries.length);
  let attempt = 1;
  let reply = await stage
    .caller(owner)
    .submit(session, 'frozen', job, {attempt});
  while (reply.kind === ReplyKind.Failure && attempt < 3) {
    assert.equal(reply.failure.ran, RunStatus.NotRun);
    assert.equal(await countStarts(stage.cluster, session, 'frozen'), 0);
    attempt += 1;
    reply = await stage.caller(owner).submit(session, 'frozen', job, {attempt});
  }
  assertWhole(expectAnswer(reply), job);
  assert.equal(await countStarts(stage.cluster, session, 'frozen'), 8);
  await assertNoDoubledStart(stage.cluster);
});
