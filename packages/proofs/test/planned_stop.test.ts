import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FailureCode, RunStatus} from '@goldcrestpier/protocol';
import {
  assertNoDuplicateStarts,
  assertComplete,
  createJob,
  expectAnswer,
  expectFailure,
  ClusterFixture,
} from '../src/index.js';

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch();
});

after(() => fixture.close());

test('an instance that stops under load completes its jobs, and their answers can be read afterwards', async () => {
  const leaving = fixture.cluster.entry('e1-1');
  const caller = fixture.createCaller(leaving);
  const session = await caller.openSession();
  const job = createJob(40, 400);
  const waiting = [0, 1, 2].map(number =>
    caller.submit(session, `waited-${number}`, job, {attempt: 1}),
  );
  const left = await caller.submit(session, 'uncollected', job, {waitMs: 0});
  expectAnswer(left);
  const stopped = leaving.stop();
  await fixture.waitUntilUnready(leaving);
  const late = await caller.submit(session, 'late', job, {attempt: 1});
  const refusal = expectFailure(late);
  assert.equal(refusal.code, FailureCode.Leaving);
  assert.equal(refusal.ran, RunStatus.NotRun);
  for (const reply of await Promise.all(waiting)) {
    assertComplete(expectAnswer(reply), job);
  }
  assert.equal((await stopped).code, 0);
  for (const name of ['e1-2', 'e2-1', 'e3-2']) {
    const reply = await fixture
      .createCallerTo(name)
      .readJob(session, 'uncollected');
    assertComplete(expectAnswer(reply), job);
    const again = await fixture
      .createCallerTo(name)
      .submit(session, 'waited-1', job);
    assertComplete(expectAnswer(again), job);
    const copy = await fixture
      .createCallerTo(name)
      .submit(session, 'late', job, {attempt: 1});
    assert.equal(expectFailure(copy).ran, RunStatus.NotRun);
  }
  await assertNoDuplicateStarts(fixture.cluster);
});

test('two instances that stop at once during a platform outage complete their jobs', async () => {
  const names = ['e2-1', 'e3-1'];
  const job = createJob(20, 400);
  const replies = await Promise.all(
    names.map(async name => {
      const caller = fixture.createCallerTo(name);
      const session = await caller.openSession();
      const reply = caller.submit(session, 'both', job);
      return {session, reply};
    }),
  );
  await new Promise(resolve => setTimeout(resolve, 100));
  await fixture.cluster.setPlatformDown(true);
  const exits = await Promise.all(
    names.map(name => fixture.cluster.entry(name).stop()),
  );
  for (const {code} of exits) assert.equal(code, 0);
  for (const {session, reply} of replies) {
    assertComplete(expectAnswer(await reply), job);
    const again = await fixture.createCallerTo('e1-2').readJob(session, 'both');
    assertComplete(expectAnswer(again), job);
  }
  await fixture.cluster.setPlatformDown(false);
  await assertNoDuplicateStarts(fixture.cluster);
});
