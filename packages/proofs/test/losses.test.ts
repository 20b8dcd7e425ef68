import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {after, before, test} from 'node:test';
import {
  FailureCode,
  JobState,
  RunStatus,
  TaskState,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {planZones} from '@goldcrestpier/standins';
import {
  assertNoDoubledStart,
  assertTrueAnswer,
  assertWhole,
  createJob,
  expectAnswer,
  Stage,
  type JobBody,
} from '../src/index.js';

let stage: Stage;

before(async () => {
  const zones = planZones({
    zones: ['batangas-1', 'batangas-2', 'batangas-3'],
    entriesPerZone: 2,
    runnersPerZone: 2,
    workersPerZone: 1,
    worker: {processors: 8, memoryMb: 16_384, accelerators: 0},
  });
  stage = await Stage.open({zones, standinProcesses: 3});
});

after(() => stage.close());

function listFailed({tasks}: JobAnswer) {
  return tasks.filter(({state}) => state === TaskState.Failed);
}

test('replies lost by one server fail just those of 690 tasks, and the job', async () => {
  const caller = stage.callerOf('e1-1');
  const session = await caller.openSession();
  const {admin} = stage.cluster.server('r2-1');
  await admin.setFaults({loseEveryNthReply: 4});
  const job = createJob(690, 5);
  const answer = expectAnswer(await caller.submit(session, 'lost', job));
  await admin.setFaults({});
  const lost = listFailed(answer);
  assert.equal(answer.state, JobState.Failed);
  assert.notEqual(lost.length, 0);
  for (const {failure} of lost) {
    assert.equal(failure?.code, FailureCode.OutcomeUnknown);
  }
  await assertTrueAnswer(stage.cluster, answer);
  await assertNoDoubledStart(stage.cluster);
});

test('late replies of one server keep a job of 690 tasks running until it is whole', async () => {
  const caller = stage.callerOf('e2-1');
  const session = await caller.openSession();
  const {admin} = stage.cluster.server('r1-1');
  await admin.setFaults({replyDelayMs: 1_000});
  const job = createJob(690, 5);
  const answer = expectAnswer(await caller.submit(session, 'late', job));
  await admin.setFaults({});
  assertWhole(answer, job);
  await assertNoDoubledStart(stage.cluster);
});

test('an instance that stops while a peer dies still ends its own jobs and hands them over', async () => {
  const leaving = stage.cluster.entry('e3-1');
  const caller = stage.caller(leaving);
  const session = await caller.openSession();
  const job = createJob(60, 400);
  const reply = caller.submit(session, 'waited', job);
  const left = caller.submit(session, 'uncollected', job, {waitMs: 0});
  expectAnswer(await left);
  const stopped = leaving.stop();
  await pause(100);
  await stage.cluster.entry('e3-2').kill();
  assertWhole(expectAnswer(await reply), job);
  assert.equal((await stopped).code, 0);
  const later = await stage.callerOf('e1-2').read(session, 'uncollected');
  assertWhole(expectAnswer(later), job);
  await assertNoDoubledStart(stage.cluster);
});

test('when servers are killed their tasks may have run, the rest is whole, and nothing starts twice', async () => {
  const caller = stage.callerOf('e1-1');
  const session = await caller.openSession();
  const worker = {processors: 1, memoryMb: 512, accelerators: 0};
  const tasks = Array.from({length: 30}, (_, echo) => ({
    ...(echo % 2 === 0 ? {worker} : {service: 'invoicing'}),
    declaredMs: 1_500,
    payload: {runMs: 1_500, echo},
  }));
  const job: JobBody = {deadlineMs: 20_000, tasks};
  const reply = caller.submit(session, 'killed', job);
  await pause(500);
  const before = await stage.cluster.readStarts();
  const doomed = stage.cluster.server('w2-1').process;
  doomed.signal('SIGKILL');
  const answer = expectAnswer(await reply);
  const onDoomed = stage.cluster.servers
    .filter(({process}) => process === doomed)
    .map(({name}) => name);
  const hit = before.filter(
    ({job: name, server}) =>
      name === `${session}/killed` && onDoomed.includes(server),
  );
  assert.notEqual(hit.length, 0);
  const failed = listFailed(answer).map(({index}) => index);
  for (const {task} of hit) {
    assert.equal(failed.includes(Number(task.split('#')[1])), true);
  }
  for (const {failure} of listFailed(answer)) {
    assert.equal(failure?.ran, RunStatus.MayHaveRun);
  }
});
