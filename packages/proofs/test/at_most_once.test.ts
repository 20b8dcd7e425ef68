import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
  FailureCode,
  JobState,
  RunStatus,
  TaskState,
} from '@goldcrestpier/protocol';
import {
  assertNoDuplicateStarts,
  countStarts,
  createJob,
  expectAnswer,
  createSetEdit,
  ClusterFixture,
} from '../src/index.js';

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch();
  const revision = await fixture.editSettings('e1-1', [
    createSetEdit('/', 'hedge.enabled', true),
    createSetEdit('/', 'hedge.percentile', 0.5),
    createSetEdit('/', 'hedge.budget_share', 1),
    createSetEdit('/', 'retry.budget_share', 1),
    // Each server loses every second reply, so that a retried task can lose
    // three replies in a row.
    createSetEdit('/', 'retry.max_starts', 8),
  ]);
  await fixture.waitForRevision(revision);
});

after(() => fixture.close());

test('a task that is not repeatable runs at most once with retries and hedging enabled', async () => {
  const caller = fixture.createCallerTo('e1-1');
  const session = await caller.openSession();
  expectAnswer(await caller.submit(session, 'learn', createJob(60, 20)));
  await fixture.cluster.setFaults({loseEveryNthReply: 2, slowFactor: 4});
  const job = createJob(40, 40);
  const answer = expectAnswer(await caller.submit(session, 'tags', job));
  await fixture.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  const lost = answer.tasks.filter(({state}) => state === TaskState.Failed);
  assert.notEqual(lost.length, 0);
  for (const {failure} of lost) {
    assert.equal(failure?.code, FailureCode.OutcomeUnknown);
    assert.equal(failure?.ran, RunStatus.MayHaveRun);
  }
  assert.equal(await countStarts(fixture.cluster, session, 'tags'), 40);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('tasks on a server that freezes fail at their deadline and are not started elsewhere', async () => {
  const caller = fixture.createCallerTo('e2-1');
  const session = await caller.openSession();
  const job = {...createJob(6, 400), deadlineMs: 2_000};
  const reply = caller.submit(session, 'frozen', job);
  await new Promise(resolve => setTimeout(resolve, 60));
  await fixture.cluster.setFaults({frozen: true});
  const answer = expectAnswer(await reply);
  await fixture.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  for (const {failure} of answer.tasks) {
    assert.equal(failure?.ran, RunStatus.MayHaveRun);
  }
  await assertNoDuplicateStarts(fixture.cluster);
});

test('a repeatable task whose reply was lost is retried and completes', async () => {
  const caller = fixture.createCallerTo('e3-1');
  const session = await caller.openSession();
  const plain = createJob(10, 20);
  const tasks = plain.tasks.map(task => ({...task, repeatable: true}));
  await fixture.cluster.setFaults({loseEveryNthReply: 4});
  const reply = await caller.submit(session, 'quotes', {...plain, tasks});
  await fixture.cluster.setFaults({});
  assert.equal(expectAnswer(reply).state, JobState.Complete);
});
