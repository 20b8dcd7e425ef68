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
  assertComplete,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  ClusterFixture,
  waitUntil,
} from '../src/index.js';

let fixture: ClusterFixture;

before(async () => {
  fixture = await ClusterFixture.launch();
});

after(() => fixture.close());

test('a job of 690 tasks completes with every result', async () => {
  const caller = fixture.createCallerTo('e1-1');
  const session = await caller.openSession();
  const job = createJob(690, 10);
  assertComplete(expectAnswer(await caller.submit(session, 'all', job)), job);
});

test('one failed task of 690 fails the job and no other task', async () => {
  const caller = fixture.createCallerTo('e1-2');
  const session = await caller.openSession();
  const job = createJob(690, 5);
  const tasks = [...job.tasks];
  tasks[345] = {service: 'invoicing', payload: {runMs: 5, fail: true}};
  const reply = await caller.submit(session, 'one', {...job, tasks});
  const answer = expectAnswer(reply);
  assert.equal(answer.state, JobState.Failed);
  assert.equal(answer.failure?.code, FailureCode.TaskFailed);
  const failed = answer.tasks.filter(({state}) => state === TaskState.Failed);
  assert.deepEqual(
    failed.map(({index, failure}) => [index, failure?.code, failure?.ran]),
    [[345, FailureCode.BackendFailed, RunStatus.Ran]],
  );
});

test('a job that passes its deadline fails with each task either done or failed', async () => {
  const caller = fixture.createCallerTo('e2-1');
  const session = await caller.openSession();
  const job = {...createJob(300, 500), deadlineMs: 700};
  const tasks = job.tasks.map(task => ({...task, declaredMs: 1}));
  const answer = expectAnswer(
    await caller.submit(session, 'half', {...job, tasks}),
  );
  assert.equal(answer.state, JobState.Failed);
  const states = new Set(answer.tasks.map(({state}) => state));
  assert.deepEqual(
    [...states].filter(
      state => state !== TaskState.Done && state !== TaskState.Failed,
    ),
    [],
  );
  const notRun = answer.tasks.filter(
    ({failure}) => failure?.ran === RunStatus.NotRun,
  );
  const starts = await fixture.cluster.readStarts();
  const started = new Set(starts.map(({task}) => task));
  for (const {index} of notRun) {
    assert.equal(started.has(`${session}/half#${index}`), false);
  }
  await assertNoDuplicateStarts(fixture.cluster);
});

test('a job fails with every task failed when all servers fail all tasks', async () => {
  const caller = fixture.createCallerTo('e3-2');
  const session = await caller.openSession();
  await fixture.cluster.setFaults({failAll: true});
  const answer = expectAnswer(
    await caller.submit(session, 'none', {
      ...createJob(20, 20),
      deadlineMs: 4000,
    }),
  );
  await fixture.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  assert.equal(answer.tasks.length, 20);
  for (const {state} of answer.tasks) assert.equal(state, TaskState.Failed);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('a job whose owner is killed is reported as lost and has no answer at any instance', async () => {
  const owner = fixture.cluster.entry('e2-2');
  const session = await fixture.createCaller(owner).openSession();
  const job = createJob(12, 2_000);
  const reply = fixture.createCallerTo('e1-1').submit(session, 'killed', job);
  await new Promise(resolve => setTimeout(resolve, 300));
  await owner.kill();
  assert.equal(expectFailure(await reply).ran, RunStatus.MayHaveRun);
  await fixture.cluster.instanceLists.remove(owner.name);
  await waitUntil('the owner to be reported as lost', async () => {
    const again = await fixture
      .createCallerTo('e1-1')
      .submit(session, 'killed', job, {waitMs: 0});
    const failure = expectFailure(again);
    assert.equal(failure.ran, RunStatus.MayHaveRun);
    return failure.code === FailureCode.OwnerLost;
  });
  for (const entry of fixture.entries) {
    if (entry === owner) continue;
    const again = await fixture
      .createCaller(entry)
      .readJob(session, 'killed', 0);
    assert.notEqual(again.kind, ReplyKind.Answer);
  }
  await assertNoDuplicateStarts(fixture.cluster);
});
