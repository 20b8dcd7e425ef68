import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FailureCode, JobState, RunStatus} from '@goldcrestpier/protocol';
import {
  assertNoDuplicateStarts,
  assertComplete,
  countStarts,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  ClusterFixture,
} from '../src/index.js';

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch();
});

after(() => fixture.close());

test('the same job sent to all six instances at once starts each task once', async () => {
  const session = await fixture.createCallerTo('e1-1').openSession();
  const job = createJob(30, 40);
  const replies = await Promise.all(
    fixture.entries.map(entry =>
      fixture.createCaller(entry).submit(session, 'quotes', job, {attempt: 1}),
    ),
  );
  const answers = replies.map(expectAnswer);
  for (const answer of answers) {
    assertComplete(answer, job);
    assert.deepEqual(answer, answers[0]);
  }
  assert.equal(await countStarts(fixture.cluster, session, 'quotes'), 30);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('a job whose answer was lost is resubmitted through another instance and not started again', async () => {
  const session = await fixture.createCallerTo('e1-1').openSession();
  const job = createJob(12, 300);
  const aborter = new AbortController();
  const lost = fixture
    .createCallerTo('e1-1')
    .submit(session, 'lost', job, {attempt: 1, signal: aborter.signal});
  setTimeout(() => aborter.abort(), 150);
  assert.equal((await lost).kind, ReplyKind.NoResponse);
  const reply = await fixture
    .createCallerTo('e3-2')
    .submit(session, 'lost', job, {attempt: 1});
  assertComplete(expectAnswer(reply), job);
  assert.equal(await countStarts(fixture.cluster, session, 'lost'), 12);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('the same key with other content is a conflict and starts nothing', async () => {
  const caller = fixture.createCallerTo('e2-1');
  const session = await caller.openSession();
  expectAnswer(await caller.submit(session, 'key', createJob(2, 10)));
  const reply = await fixture
    .createCallerTo('e1-2')
    .submit(session, 'key', createJob(3, 10));
  const failure = expectFailure(reply);
  assert.equal(failure.code, FailureCode.ContentConflict);
  assert.equal(await countStarts(fixture.cluster, session, 'key'), 2);
});

test('a session that has ended refuses submissions as "may have run"', async () => {
  const caller = fixture.createCallerTo('e2-2');
  const session = await caller.openSession();
  const job = createJob(2, 10);
  expectAnswer(await caller.submit(session, 'done', job));
  assert.equal(await caller.endSession(session), 204);
  for (const entry of fixture.entries) {
    const failure = expectFailure(
      await fixture.createCaller(entry).submit(session, 'done', job),
    );
    assert.equal(failure.code, FailureCode.SessionEnded);
    assert.equal(failure.ran, RunStatus.MayHaveRun);
  }
  assert.equal(await countStarts(fixture.cluster, session, 'done'), 2);
});

test('tasks whose connection is reset after the start fail with an unknown outcome and are not started again', async () => {
  const caller = fixture.createCallerTo('e1-2');
  const session = await caller.openSession();
  const job = createJob(6, 20);
  await fixture.cluster.setFaults({resetAfterStart: true});
  const answer = expectAnswer(await caller.submit(session, 'reset', job));
  await fixture.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  for (const task of answer.tasks) {
    assert.equal(task.failure?.code, FailureCode.OutcomeUnknown);
    assert.equal(task.failure?.ran, RunStatus.MayHaveRun);
  }
  assert.equal(await countStarts(fixture.cluster, session, 'reset'), 6);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('an owner that was frozen resumes, and no task starts twice', async () => {
  const owner = fixture.cluster.entry('e2-1');
  const session = await fixture.createCaller(owner).openSession();
  const job = createJob(8, 20);
  owner.pause();
  const during = await fixture
    .createCallerTo('e3-1')
    .submit(session, 'frozen', job, {attempt: 1, waitMs: 500});
  const failure = expectFailure(during);
  assert.equal(failure.code, FailureCode.OwnerUnreachable);
  assert.equal(failure.ran, RunStatus.MayHaveRun);
  assert.notEqual(failure.retryAfterMs, undefined);
  owner.resume();
  await fixture.waitForMembers(fixture.entries.length);
  let attempt = 1;
  let reply = await fixture
    .createCaller(owner)
    .submit(session, 'frozen', job, {attempt});
  while (reply.kind === ReplyKind.Failure && attempt < 3) {
    assert.equal(reply.failure.ran, RunStatus.NotRun);
    assert.equal(await countStarts(fixture.cluster, session, 'frozen'), 0);
    attempt += 1;
    reply = await fixture
      .createCaller(owner)
      .submit(session, 'frozen', job, {attempt});
  }
  assertComplete(expectAnswer(reply), job);
  assert.equal(await countStarts(fixture.cluster, session, 'frozen'), 8);
  await assertNoDuplicateStarts(fixture.cluster);
});
