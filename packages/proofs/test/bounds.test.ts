import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {after, before, test} from 'node:test';
import {FailureCode, RunStatus} from '@goldcrestpier/protocol';
import {planZones} from '@goldcrestpier/standins';
import {
  assertWhole,
  countStarts,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  Stage,
} from '../src/index.js';

const BOUNDED = {sessions: {max_sessions: 3, max_keys: 2}};
const FREEZE_MS = 6_500;

let stage: Stage;

before(async () => {
  const [first, ...others] = planZones({
    zones: ['batangas-1', 'batangas-2'],
    entriesPerZone: 2,
    runnersPerZone: 1,
  });
  assert.ok(first !== undefined);
  const entries = first.entries.map(each => ({...each, settings: BOUNDED}));
  stage = await Stage.open({zones: [{...first, entries}, ...others]});
});

after(() => stage.close());

test('a session that has used up its keys refuses new ones for ever and keeps the old', async () => {
  const caller = stage.callerOf('e1-1');
  const session = await caller.openSession();
  const job = createJob(1, 10);
  for (const key of ['one', 'two']) {
    assertWhole(expectAnswer(await caller.submit(session, key, job)), job);
  }
  for (const entry of stage.entries) {
    const refused = await stage.caller(entry).submit(session, 'three', job);
    const failure = expectFailure(refused);
    assert.equal(failure.code, FailureCode.SessionFull);
    assert.equal(failure.ran, RunStatus.NotRun);
  }
  assertWhole(expectAnswer(await caller.submit(session, 'one', job)), job);
  assert.equal(await countStarts(stage.cluster, session, 'three'), 0);
  await caller.endSession(session);
});

test('an instance with too many sessions refuses more until one ends', async () => {
  const caller = stage.callerOf('e1-2');
  const sessions = [
    await caller.openSession(),
    await caller.openSession(),
    await caller.openSession(),
  ];
  await assert.rejects(caller.openSession());
  await caller.endSession(sessions[0] ?? '');
  assert.notEqual(await caller.openSession(), '');
});

test('a copy that waited in a frozen owner is refused as too old, and stays refused', async () => {
  const owner = stage.cluster.entry('e2-1');
  const session = await stage.caller(owner).openSession();
  const job = createJob(3, 10);
  const direct = stage.callerOf('e2-1');
  owner.pause();
  // One copy waits in the owner's own socket, one in that of its peer's link.
  const waiting = direct.submit(session, 'old', job, {attempt: 1});
  const relayed = stage
    .callerOf('e1-1')
    .submit(session, 'old', job, {attempt: 1, waitMs: 100});
  await pause(FREEZE_MS);
  owner.resume();
  const failure = expectFailure(await waiting);
  assert.equal(failure.ran, RunStatus.NotRun);
  assert.equal(
    [FailureCode.StaleSubmission, FailureCode.AttemptClosed].includes(
      failure.code,
    ),
    true,
  );
  const other = expectFailure(await relayed);
  assert.equal(other.code, FailureCode.OwnerUnreachable);
  const copy = await direct.submit(session, 'old', job, {attempt: 1});
  assert.equal(expectFailure(copy).code, FailureCode.AttemptClosed);
  assert.equal(await countStarts(stage.cluster, session, 'old'), 0);
  let attempt = 2;
  let again = await direct.submit(session, 'old', job, {attempt});
  // For a moment after the freeze nothing tells how old a copy is.
  while (again.kind === ReplyKind.Failure && attempt < 10) {
    assert.equal(again.failure.code, FailureCode.StaleSubmission);
    await pause(again.failure.retryAfterMs);
    attempt += 1;
    again = await direct.submit(session, 'old', job, {attempt});
  }
  assertWhole(expectAnswer(again), job);
  assert.equal(await countStarts(stage.cluster, session, 'old'), 3);
});
