/**
 * Replays the counterexamples that the models in spec/ have when a mechanism is
 * removed. A title begins with the model's flag that removes the mechanism.
 */
import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {after, before, test} from 'node:test';
import {
  FailureCode,
  JobState,
  RunStatus,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {
  assertNoDuplicateStarts,
  assertComplete,
  countStarts,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  createSetEdit,
  ClusterFixture,
  type JobBody,
} from '../src/index.js';

const TEAM = 'refused';
/** Longer than the maximum age of a submission and the time a key is closed. */
const LONGER_THAN_CLOSED_MS = 6_000;
const MAX_SUBMISSIONS = 20;

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch();
});

after(() => fixture.close());

/** Creates a job of a team that is refused while its quota is 0. */
function createRefusedJob(): JobBody {
  return {...createJob(4, 20), team: TEAM};
}

/**
 * Retries after each failure, with the delay that it names. A failure must
 * never say "not run".
 */
async function submitUntilAnswered(
  name: string,
  key: string,
  job: JobBody,
): Promise<JobAnswer> {
  for (let submissions = 0; submissions < MAX_SUBMISSIONS; submissions += 1) {
    const reply = await fixture
      .createCallerTo(name)
      .submitWithIdempotencyKey(key, job);
    if (reply.kind !== ReplyKind.Failure) return expectAnswer(reply);
    assert.equal(reply.failure.ran, RunStatus.MayHaveRun);
    await pause(reply.failure.retryAfterMs);
  }
  throw new Error(`${name} gave no answer for ${key}`);
}

async function setQuota(quota: number): Promise<void> {
  const edit = createSetEdit('/', `fairness.quotas.${TEAM}`, quota);
  await fixture.waitForRevision(await fixture.editSettings('e1-1', [edit]));
}

test('REFUSAL_LEAVES_OPEN: a copy of a refused attempt is refused through every instance', async () => {
  const job = createRefusedJob();
  const session = await fixture.createCallerTo('e1-1').openSession();
  await setQuota(0);
  const first = await fixture
    .createCallerTo('e1-1')
    .submit(session, 'late', job, {attempt: 1});
  assert.equal(expectFailure(first).ran, RunStatus.NotRun);
  await setQuota(1_000);
  for (const entry of fixture.entries) {
    const copy = await fixture
      .createCaller(entry)
      .submit(session, 'late', job, {attempt: 1});
    assert.equal(expectFailure(copy).code, FailureCode.AttemptClosed);
    assert.equal(expectFailure(copy).ran, RunStatus.NotRun);
  }
  assert.equal(await countStarts(fixture.cluster, session, 'late'), 0);
  const nextAttempt = await fixture
    .createCallerTo('e3-1')
    .submit(session, 'late', job, {attempt: 2});
  assertComplete(expectAnswer(nextAttempt), job);
  const old = await fixture
    .createCallerTo('e2-1')
    .submit(session, 'late', job, {attempt: 1});
  assertComplete(expectAnswer(old), job);
  assert.equal(await countStarts(fixture.cluster, session, 'late'), 4);
});

test('REFUSAL_WHILE_CLOSED_IS_FREE: each "not run" without an attempt number closes the key for the maximum age of a submission', async () => {
  const job = createRefusedJob();
  const session = await fixture.createCallerTo('e2-1').openSession();
  await setQuota(0);
  const first = await fixture
    .createCallerTo('e2-1')
    .submit(session, 'plain', job);
  const told = expectFailure(first);
  assert.equal(told.ran, RunStatus.NotRun);
  await setQuota(1_000);
  await pause(LONGER_THAN_CLOSED_MS / 2);
  const copy = await fixture
    .createCallerTo('e3-1')
    .submit(session, 'plain', job);
  const again = expectFailure(copy);
  assert.equal(again.code, FailureCode.AttemptClosed);
  assert.ok((again.retryAfterMs ?? 0) >= (told.retryAfterMs ?? Infinity));
  assert.equal(await countStarts(fixture.cluster, session, 'plain'), 0);
  await pause(again.retryAfterMs);
  const nextAttempt = await fixture
    .createCallerTo('e3-2')
    .submit(session, 'plain', job);
  assertComplete(expectAnswer(nextAttempt), job);
  assert.equal(await countStarts(fixture.cluster, session, 'plain'), 4);
});

test('COPIES_HAVE_NO_AGE: a copy that a paused relaying instance held too long is not started', async () => {
  const job = createRefusedJob();
  const relay = fixture.cluster.entry('e3-2');
  const session = await fixture.createCallerTo('e1-2').openSession();
  await setQuota(0);
  relay.pause();
  const held = fixture.createCaller(relay).submit(session, 'held', job);
  await pause(200);
  const first = await fixture
    .createCallerTo('e1-2')
    .submit(session, 'held', job);
  assert.equal(expectFailure(first).ran, RunStatus.NotRun);
  await pause(LONGER_THAN_CLOSED_MS);
  const open = createSetEdit('/', `fairness.quotas.${TEAM}`, 1_000);
  await fixture.editSettings('e1-1', [open]);
  await pause(LONGER_THAN_CLOSED_MS / 2);
  relay.resume();
  expectFailure(await held);
  await fixture.waitForMembers(fixture.entries.length);
  assert.equal(await countStarts(fixture.cluster, session, 'held'), 0);
});

test('OTHERS_SAY_NOT_RUN: while the owner is paused no instance says "not run" of a job that it started', async () => {
  const job = createJob(4, 300);
  const owner = fixture.cluster.entry('e2-2');
  const session = await fixture.createCaller(owner).openSession();
  const waiting = fixture.createCaller(owner).submit(session, 'started', job);
  await fixture.waitForStarts(session, 'started', 4);
  owner.pause();
  const others = fixture.entries.filter(entry => entry !== owner);
  for (const entry of others) {
    const reply = await fixture
      .createCaller(entry)
      .submit(session, 'started', job, {waitMs: 100});
    assert.notEqual(expectFailure(reply).ran, RunStatus.NotRun);
  }
  owner.resume();
  expectAnswer(await waiting);
  assert.equal(await countStarts(fixture.cluster, session, 'started'), 4);
});

test('CANCELLED_IS_NOT_RUN: a cancelled task that a server started is never reported as "not run"', async () => {
  const caller = fixture.createCallerTo('e1-1');
  const session = await caller.openSession();
  const job = createJob(200, 200);
  for (const [round, delayMs] of [0, 15, 60, 150].entries()) {
    const key = `wave-${round}`;
    expectAnswer(await caller.submit(session, key, job, {waitMs: 0}));
    await pause(delayMs);
    const answer = expectAnswer(await caller.cancelJob(session, key));
    assert.equal(answer.state, JobState.Failed);
    await pause(500);
    const starts = await fixture.cluster.readStarts();
    const started = new Set(starts.map(({task}) => task));
    for (const {index, failure} of answer.tasks) {
      if (failure?.ran !== RunStatus.NotRun) continue;
      assert.equal(started.has(`${session}/${key}#${index}`), false);
    }
  }
});

test('LOST_ANSWER_IS_NOT_CLAIMED: a claim whose response was lost leads to one job over all instances', async () => {
  const job = createJob(3, 50);
  const {keyValue} = fixture.cluster.platform;
  await keyValue.setFaults({loseAnswers: 2});
  const names = ['e1-1', 'e2-1', 'e3-1'];
  const answers = await Promise.all(
    names.map(name => submitUntilAnswered(name, 'tag-0815', job)),
  );
  await keyValue.setFaults({});
  for (const answer of answers) assert.deepEqual(answer, answers[0]);
  const [{session, key} = {session: '', key: ''}] = answers;
  assert.equal(await countStarts(fixture.cluster, session, key), 3);
});

test('LEAVING_IS_NOT_RUN: an instance that is leaving or cannot claim does not say "not run" of a claimed key', async () => {
  const job = createJob(3, 50);
  assertComplete(await submitUntilAnswered('e2-1', 'tag-0816', job), job);
  await fixture.cluster.setPlatformDown(true);
  const out = await fixture
    .createCallerTo('e1-2')
    .submitWithIdempotencyKey('tag-0816', job);
  assert.equal(expectFailure(out).ran, RunStatus.MayHaveRun);
  await fixture.cluster.setPlatformDown(false);
  // It has had no submission by idempotency key yet, so it would have to open a
  // session for this one.
  const leaving = fixture.cluster.entry('e3-2');
  const caller = fixture.createCaller(leaving);
  const session = await caller.openSession();
  const long = createJob(2, 3_000);
  expectAnswer(await caller.submit(session, 'long', long, {waitMs: 0}));
  const stopped = leaving.stop();
  await fixture.waitUntilUnready(leaving);
  const reply = await caller.submitWithIdempotencyKey('tag-0816', job);
  assert.equal(expectFailure(reply).ran, RunStatus.MayHaveRun);
  assert.equal((await stopped).code, 0);
  const successor = await fixture
    .createCallerTo('e1-1')
    .readJob(session, 'long');
  assertComplete(expectAnswer(successor), long);
});

test('no task of these tests started twice', async () => {
  await assertNoDuplicateStarts(fixture.cluster);
});
