import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {after, before, test} from 'node:test';
import {FailureCode, RunStatus} from '@goldcrestpier/protocol';
import {planZones} from '@goldcrestpier/standins';
import {
  assertComplete,
  countStarts,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  ClusterFixture,
} from '../src/index.js';

const SESSION_LIMITS = {sessions: {max_sessions: 3, max_keys: 2}};
const FREEZE_MS = 6_500;

let fixture: ClusterFixture;

before(async () => {
  const [first, ...others] = planZones({
    zones: ['batangas-1', 'batangas-2'],
    entriesPerZone: 2,
    runnersPerZone: 1,
  });
  assert.ok(first !== undefined);
  const entries = first.entries.map(each => ({
    ...each,
    settings: SESSION_LIMITS,
  }));
  fixture = await ClusterFixture.launch({
    zones: [{...first, entries}, ...others],
  });
});

after(() => fixture.close());

test('a session with its maximum of keys refuses new keys and still answers for used ones', async () => {
  const caller = fixture.createCallerTo('e1-1');
  const session = await caller.openSession();
  const job = createJob(1, 10);
  for (const key of ['one', 'two']) {
    assertComplete(expectAnswer(await caller.submit(session, key, job)), job);
  }
  for (const entry of fixture.entries) {
    const refused = await fixture
      .createCaller(entry)
      .submit(session, 'three', job);
    const failure = expectFailure(refused);
    assert.equal(failure.code, FailureCode.SessionFull);
    assert.equal(failure.ran, RunStatus.NotRun);
  }
  assertComplete(expectAnswer(await caller.submit(session, 'one', job)), job);
  assert.equal(await countStarts(fixture.cluster, session, 'three'), 0);
  await caller.endSession(session);
});

test('an instance with its maximum of sessions refuses new ones until one ends', async () => {
  const caller = fixture.createCallerTo('e1-2');
  const sessions = [
    await caller.openSession(),
    await caller.openSession(),
    await caller.openSession(),
  ];
  await assert.rejects(caller.openSession());
  await caller.endSession(sessions[0] ?? '');
  assert.notEqual(await caller.openSession(), '');
});

test('a submission that waited in a frozen owner is refused as stale, and its attempt stays closed', async () => {
  const owner = fixture.cluster.entry('e2-1');
  const session = await fixture.createCaller(owner).openSession();
  const job = createJob(3, 10);
  const direct = fixture.createCallerTo('e2-1');
  owner.pause();
  // One copy waits in the owner's socket for callers, the other one on the
  // connection from its peer.
  const waiting = direct.submit(session, 'old', job, {attempt: 1});
  const relayed = fixture
    .createCallerTo('e1-1')
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
  assert.equal(await countStarts(fixture.cluster, session, 'old'), 0);
  let attempt = 2;
  let again = await direct.submit(session, 'old', job, {attempt});
  // Just after the freeze the owner can't tell the age of a submission.
  while (again.kind === ReplyKind.Failure && attempt < 10) {
    assert.equal(again.failure.code, FailureCode.StaleSubmission);
    await pause(again.failure.retryAfterMs);
    attempt += 1;
    again = await direct.submit(session, 'old', job, {attempt});
  }
  assertComplete(expectAnswer(again), job);
  assert.equal(await countStarts(fixture.cluster, session, 'old'), 3);
});
