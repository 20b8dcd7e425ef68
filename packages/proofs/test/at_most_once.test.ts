import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
  FailureCode,
  JobState,
  RunStatus,
  TaskState,
} from '@goldcrestpier/protocol';
import {
  assertNoDoubledStart,
  countStarts,
  createJob,
  expectAnswer,
  setKey,
  Stage,
} from '../src/index.js';

let stage: Stage;

before(async () => {
  stage = await Stage.open();
  const revision = await stage.edit('e1-1', [
    setKey('/', 'hedge.enabled', true),
    setKey('/', 'hedge.percentile', 0.5),
    setKey('/', 'hedge.budget_share', 1),
    setKey('/', 'retry.budget_share', 1),
    // Replies are lost by turns at each server: three losses in a row occur.
    setKey('/', 'retry.max_starts', 8),
  ]);
  await stage.waitForRevision(revision);
});

after(() => stage.close());

test('a request that is not repeatable runs at most once though retries and hedges are forced on', async () => {
  const caller = stage.callerOf('e1-1');
  const session = await caller.openSession();
  expectAnswer(await caller.submit(session, 'learn', createJob(60, 20)));
  await stage.cluster.setFaults({loseEveryNthReply: 2, slowFactor: 4});
  const job = createJob(40, 40);
  const answer = expectAnswer(await caller.submit(session, 'tags', job));
  await stage.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  const lost = answer.tasks.filter(({state}) => state === TaskState.Failed);
  assert.notEqual(lost.length, 0);
  for (const {failure} of lost) {
    assert.equal(failure?.code, FailureCode.OutcomeUnknown);
    assert.equal(failure?.ran, RunStatus.MayHaveRun);
  }
  assert.equal(await countStarts(stage.cluster, session, 'tags'), 40);
  await assertNoDoubledStart(stage.cluster);
});

test('a server that freezes with a request keeps it, and the request ends at its deadline', async () => {
  const caller = stage.callerOf('e2-1');
  const session = await caller.openSession();
  const job = {...createJob(6, 400), deadlineMs: 2_000};
  const reply = caller.submit(session, 'frozen', job);
  await new Promise(resolve => setTimeout(resolve, 60));
  await stage.cluster.setFaults({frozen: true});
  const answer = expectAnswer(await reply);
  await stage.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  for (const {failure} of answer.tasks) {
    assert.equal(failure?.ran, RunStatus.MayHaveRun);
  }
  await assertNoDoubledStart(stage.cluster);
});

test('a repeatable request whose reply was lost is run again and gets its answer', async () => {
  const caller = stage.callerOf('e3-1');
  const session = await caller.openSession();
  const plain = createJob(10, 20);
  const tasks = plain.tasks.map(task => ({...task, repeatable: true}));
  await stage.cluster.setFaults({loseEveryNthReply: 4});
  const reply = await caller.submit(session, 'quotes', {...plain, tasks});
  await stage.cluster.setFaults({});
  assert.equal(expectAnswer(reply).state, JobState.Complete);
});
