import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FailureCode, RunStatus} from '@goldcrestpier/protocol';
import {
  assertNoDoubledStart,
  assertWhole,
  createJob,
  expectAnswer,
  expectFailure,
  Stage,
  waitUntil,
} from '../src/index.js';

let stage: Stage;

before(async () => {
  stage = await Stage.open();
});

after(() => stage.close());

test('a stop under load ends every job in flight, and its answers can be collected afterwards', async () => {
  const leaving = stage.cluster.entry('e1-1');
  const caller = stage.caller(leaving);
  const session = await caller.openSession();
  const job = createJob(40, 400);
  const waiting = [0, 1, 2].map(number =>
    caller.submit(session, `waited-${number}`, job, {attempt: 1}),
  );
  const left = await caller.submit(session, 'uncollected', job, {waitMs: 0});
  expectAnswer(left);
  const stopped = leaving.stop();
  await waitUntil('the balancer to be told', async () => {
    return !(await leaving.isReady());
  });
  const late = await caller.submit(session, 'late', job, {attempt: 1});
  const refusal = expectFailure(late);
  assert.equal(refusal.code, FailureCode.Leaving);
  assert.equal(refusal.ran, RunStatus.NotRun);
  for (const reply of await Promise.all(waiting)) {
    assertWhole(expectAnswer(reply), job);
  }
  assert.equal((await stopped).code, 0);
  for (const name of ['e1-2', 'e2-1', 'e3-2']) {
    const reply = await stage.callerOf(name).read(session, 'uncollected');
    assertWhole(expectAnswer(reply), job);
    const again = await stage.callerOf(name).submit(session, 'waited-1', job);
    assertWhole(expectAnswer(again), job);
    const copy = await stage
      .callerOf(name)
      .submit(session, 'late', job, {attempt: 1});
    assert.equal(expectFailure(copy).ran, RunStatus.NotRun);
  }
  await assertNoDoubledStart(stage.cluster);
});

test('two instances stop at once while the platform is out, and cut off nothing', async () => {
  const names = ['e2-1', 'e3-1'];
  const job = createJob(20, 400);
  const replies = await Promise.all(
    names.map(async name => {
      const caller = stage.callerOf(name);
      const session = await caller.openSession();
      const reply = caller.submit(session, 'both', job);
      return {session, reply};
    }),
  );
  await new Promise(resolve => setTimeout(resolve, 100));
  await stage.cluster.setPlatformDown(true);
  const exits = await Promise.all(
    names.map(name => stage.cluster.entry(name).stop()),
  );
  for (const {code} of exits) assert.equal(code, 0);
  for (const {session, reply} of replies) {
    assertWhole(expectAnswer(await reply), job);
    const again = await stage.callerOf('e1-2').read(session, 'both');
    assertWhole(expectAnswer(again), job);
  }
  await stage.cluster.setPlatformDown(false);
  await assertNoDoubledStart(stage.cluster);
});
