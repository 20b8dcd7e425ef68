/** Replays what the models of spec/ find when a mechanism is taken out. */
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
  assertNoDoubledStart,
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

const TEAM = 'refused';
/** Longer than a copy's life and the closing of a key. */
const CLOSED_MS = 6_000;
const MOST_ASKED = 20;

let stage: Stage;

before(async () => {
  stage = await Stage.open();
});

after(() => stage.close());

/** A job of a team that may have nothing waiting until it is let in. */
function createRefusedJob(): JobBody {
  return {...createJob(4, 20), team: TEAM};
}

/** Asks as long as the answer says to, which must never be "not run". */
async function askPlain(
  name: string,
  key: string,
  job: JobBody,
): Promise<JobAnswer> {
  for (let tries = 0; tries < MOST_ASKED; tries += 1) {
    const reply = await stage.callerOf(name).submitPlain(key, job);
    if (reply.kind !== ReplyKind.Failure) return expectAnswer(reply);
    assert.equal(reply.failure.ran, RunStatus.MayHaveRun);
    await pause(reply.failure.retryAfterMs);
  }
  throw new Error(`${name} never answered ${key}`);
}

async function setQuota(quota: number): Promise<void> {
  const edit = setKey('/', `fairness.quotas.${TEAM}`, quota);
  await stage.waitForRevision(await stage.edit('e1-1', [edit]));
}

test('REFUSAL_LEAVES_OPEN: a copy of a refused attempt is refused by whatever way it comes', async () => {
  const job = createRefusedJob();
  const session = await stage.callerOf('e1-1').openSession();
  await setQuota(0);
  const first = await stage
    .callerOf('e1-1')
    .submit(session, 'late', job, {attempt: 1});
  assert.equal(expectFailure(first).ran, RunStatus.NotRun);
  await setQuota(1_000);
  for (const entry of stage.entries) {
    const copy = await stage
      .caller(entry)
      .submit(session, 'late', job, {attempt: 1});
    assert.equal(expectFailure(copy).code, FailureCode.AttemptClosed);
    assert.equal(expectFailure(copy).ran, RunStatus.NotRun);
  }
  assert.equal(await countStarts(stage.cluster, session, 'late'), 0);
  const anew = await stage
    .callerOf('e3-1')
    .submit(session, 'late', job, {attempt: 2});
  assertWhole(expectAnswer(anew), job);
  const old = await stage
    .callerOf('e2-1')
    .submit(session, 'late', job, {attempt: 1});
  assertWhole(expectAnswer(old), job);
  assert.equal(await countStarts(stage.cluster, session, 'late'), 4);
});

test('REFUSAL_WHILE_CLOSED_IS_FREE: without an attempt each "not run" closes the key for a copy\'s whole life', async () => {
  const job = createRefusedJob();
  const session = await stage.callerOf('e2-1').openSession();
  await setQuota(0);
  const first = await stage.callerOf('e2-1').submit(session, 'plain', job);
  const told = expectFailure(first);
  assert.equal(told.ran, RunStatus.NotRun);
  await setQuota(1_000);
  await pause(CLOSED_MS / 2);
  const copy = await stage.callerOf('e3-1').submit(session, 'plain', job);
  const again = expectFailure(copy);
  assert.equal(again.code, FailureCode.AttemptClosed);
  assert.ok((again.retryAfterMs ?? 0) >= (told.retryAfterMs ?? Infinity));
  assert.equal(await countStarts(stage.cluster, session, 'plain'), 0);
  await pause(again.retryAfterMs);
  const anew = await stage.callerOf('e3-2').submit(session, 'plain', job);
  assertWhole(expectAnswer(anew), job);
  assert.equal(await countStarts(stage.cluster, session, 'plain'), 4);
});

test('COPIES_HAVE_NO_AGE: a copy that a stopped relay held too long is not started', async () => {
  const job = createRefusedJob();
  const relay = stage.cluster.entry('e3-2');
  const session = await stage.callerOf('e1-2').openSession();
  await setQuota(0);
  relay.pause();
  const held = stage.caller(relay).submit(session, 'held', job);
  await pause(200);
  const first = await stage.callerOf('e1-2').submit(session, 'held', job);
  assert.equal(expectFailure(first).ran, RunStatus.NotRun);
  await pause(CLOSED_MS);
  const open = setKey('/', `fairness.quotas.${TEAM}`, 1_000);
  await stage.edit('e1-1', [open]);
  await pause(CLOSED_MS / 2);
  relay.resume();
  expectFailure(await held);
  await stage.waitForMembers(stage.entries.length);
  assert.equal(await countStarts(stage.cluster, session, 'held'), 0);
});

test('OTHERS_SAY_NOT_RUN: while the owner is stopped nobody says "not run" of what it started', async () => {
  const job = createJob(4, 300);
  const owner = stage.cluster.entry('e2-2');
  const session = await stage.caller(owner).openSession();
  const waiting = stage.caller(owner).submit(session, 'started', job);
  await waitUntil('all starts', async () => {
    return (await countStarts(stage.cluster, session, 'started')) === 4;
  });
  owner.pause();
  const others = stage.entries.filter(entry => entry !== owner);
  for (const entry of others) {
    const reply = await stage
      .caller(entry)
      .submit(session, 'started', job, {waitMs: 100});
    assert.notEqual(expectFailure(reply).ran, RunStatus.NotRun);
  }
  owner.resume();
  expectAnswer(await waiting);
  assert.equal(await countStarts(stage.cluster, session, 'started'), 4);
});

test('CANCELLED_IS_NOT_RUN: a cancelled task that a server started is never "not run"', async () => {
  const caller = stage.callerOf('e1-1');
  const session = await caller.openSession();
  const job = createJob(200, 200);
  for (const [round, delayMs] of [0, 15, 60, 150].entries()) {
    const key = `wave-${round}`;
    expectAnswer(await caller.submit(session, key, job, {waitMs: 0}));
    await pause(delayMs);
    const answer = expectAnswer(await caller.cancel(session, key));
    assert.equal(answer.state, JobState.Failed);
    await pause(500);
    const starts = await stage.cluster.readStarts();
    const started = new Set(starts.map(({task}) => task));
    for (const {index, failure} of answer.tasks) {
      if (failure?.ran !== RunStatus.NotRun) continue;
      assert.equal(started.has(`${session}/${key}#${index}`), false);
    }
  }
});

test('LOST_ANSWER_IS_NOT_CLAIMED: a claim whose answer was lost is one job at every instance', async () => {
  const job = createJob(3, 50);
  const {keyValue} = stage.cluster.platform;
  await keyValue.setFaults({loseAnswers: 2});
  const names = ['e1-1', 'e2-1', 'e3-1'];
  const answers = await Promise.all(
    names.map(name => askPlain(name, 'tag-0815', job)),
  );
  await keyValue.setFaults({});
  for (const answer of answers) assert.deepEqual(answer, answers[0]);
  const [{session, key} = {session: '', key: ''}] = answers;
  assert.equal(await countStarts(stage.cluster, session, key), 3);
});

test('LEAVING_IS_NOT_RUN: an instance that leaves or cannot claim does not say "not run" of a claimed key', async () => {
  const job = createJob(3, 50);
  assertWhole(await askPlain('e2-1', 'tag-0816', job), job);
  await stage.cluster.setPlatformDown(true);
  const out = await stage.callerOf('e1-2').submitPlain('tag-0816', job);
  assert.equal(expectFailure(out).ran, RunStatus.MayHaveRun);
  await stage.cluster.setPlatformDown(false);
  // It has served no plain client yet, so it would have to open a session.
  const leaving = stage.cluster.entry('e3-2');
  const caller = stage.caller(leaving);
  const session = await caller.openSession();
  const long = createJob(2, 3_000);
  expectAnswer(await caller.submit(session, 'long', long, {waitMs: 0}));
  const stopped = leaving.stop();
  await waitUntil('the stop', async () => !(await leaving.isReady()));
  const reply = await caller.submitPlain('tag-0816', job);
  assert.equal(expectFailure(reply).ran, RunStatus.MayHaveRun);
  assert.equal((await stopped).code, 0);
  const successor = await stage.callerOf('e1-1').read(session, 'long');
  assertWhole(expectAnswer(successor), long);
});

test('nothing in these replays started twice', async () => {
  await assertNoDoubledStart(stage.cluster);
});
