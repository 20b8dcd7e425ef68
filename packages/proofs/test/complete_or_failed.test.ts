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
  assertWhole,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  Stage,
  waitUntil,
} from '../src/index.js';

let stage: Stage;

before(async () => {
  stage = await Stage.open();
});

after(() => stage.close());

test('a job of 690 tasks is complete with every result', async () => {
  const caller = stage.callerOf('e1-1');
  const session = await caller.openSession();
  const job = createJob(690, 10);
  assertWhole(expectAnswer(await caller.submit(session, 'all', job)), job);
});

test('one failed task of 690 fails the job and shows the other 689 results', async () => {
  const caller = stage.callerOf('e1-2');
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

test('a deadline that passes half way fails the job at once, with each task accounted for', async () => {
  const caller = stage.callerOf('e2-1');
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
  const starts = await stage.cluster.readStarts();
  const started = new Set(starts.map(({task}) => task));
  for (const {index} of notRun) {
    assert.equal(started.has(`${session}/half#${index}`), false);
  }
  await assertNoDoubledStart(stage.cluster);
});

test('when every server fails everything, the job fails visibly', async () => {
  const caller = stage.callerOf('e3-2');
  const session = await caller.openSession();
  await stage.cluster.setFaults({failAll: true});
  const answer = expectAnswer(
    await caller.submit(session, 'none', {
      ...createJob(20, 20),
      deadlineMs: 4000,
    }),
  );
  await stage.cluster.setFaults({});
  assert.equal(answer.state, JobState.Failed);
  assert.equal(answer.tasks.length, 20);
  for (const {state} of answer.tasks) assert.equal(state, TaskState.Failed);
  await assertNoDoubledStart(stage.cluster);
});

test('when the owner is killed its job is finally failed everywhere, as lost', async () => {
  const owner = stage.cluster.entry('e2-2');
  const session = await stage.caller(owner).openSession();
  const job = createJob(12, 2_000);
  const reply = stage.callerOf('e1-1').submit(session, 'killed', job);
  await new Promise(resolve => setTimeout(resolve, 300));
  await owner.kill();
  assert.equal(expectFailure(await reply).ran, RunStatus.MayHaveRun);
  await stage.cluster.instanceLists.remove(owner.name);
  await waitUntil('the owner to be known as lost', async () => {
    const again = await stage
      .callerOf('e1-1')
      .submit(session, 'killed', job, {waitMs: 0});
    const failure = expectFailure(again);
    assert.equal(failure.ran, RunStatus.MayHaveRun);
    return failure.code === FailureCode.OwnerLost;
  });
  for (const entry of stage.entries) {
    if (entry === owner) continue;
    const again = await stage.caller(entry).read(session, 'killed', 0);
    assert.notEqual(again.kind, ReplyKind.Job);
  }
  await assertNoDoubledStart(stage.cluster);
});
