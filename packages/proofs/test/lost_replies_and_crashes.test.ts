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
import {
  assertNoDuplicateStarts,
  assertAnswerMatchesRecords,
  assertComplete,
  createJob,
  expectAnswer,
  planThreeZones,
  ClusterFixture,
  type JobBody,
} from '../src/index.js';

let fixture: ClusterFixture;

before(async () => {
  const zones = planThreeZones({
    runnersPerZone: 2,
    workersPerZone: 1,
    worker: {processors: 8, memoryMb: 16_384, accelerators: 0},
  });
  fixture = await ClusterFixture.launch({zones, standinProcesses: 3});
});

after(() => fixture.close());

function listFailed({tasks}: JobAnswer) {
  return tasks.filter(({state}) => state === TaskState.Failed);
}

test('replies lost by one server fail the job and only those tasks of 690', async () => {
  const caller = fixture.createCallerTo('e1-1');
  const session = await caller.openSession();
  const {admin} = fixture.cluster.server('r2-1');
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
  await assertAnswerMatchesRecords(fixture.cluster, answer);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('a job of 690 tasks completes when the replies of one server are late', async () => {
  const caller = fixture.createCallerTo('e2-1');
  const session = await caller.openSession();
  const {admin} = fixture.cluster.server('r1-1');
  await admin.setFaults({replyDelayMs: 1_000});
  const job = createJob(690, 5);
  const answer = expectAnswer(await caller.submit(session, 'late', job));
  await admin.setFaults({});
  assertComplete(answer, job);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('an instance that stops while a peer is killed completes its jobs and hands over their answers', async () => {
  const leaving = fixture.cluster.entry('e3-1');
  const caller = fixture.createCaller(leaving);
  const session = await caller.openSession();
  const job = createJob(60, 400);
  const reply = caller.submit(session, 'waited', job);
  const left = caller.submit(session, 'uncollected', job, {waitMs: 0});
  expectAnswer(await left);
  const stopped = leaving.stop();
  await pause(100);
  await fixture.cluster.entry('e3-2').kill();
  assertComplete(expectAnswer(await reply), job);
  assert.equal((await stopped).code, 0);
  const later = await fixture
    .createCallerTo('e1-2')
    .readJob(session, 'uncollected');
  assertComplete(expectAnswer(later), job);
  await assertNoDuplicateStarts(fixture.cluster);
});

test('tasks on killed servers fail, and every failed task is reported as "may have run"', async () => {
  const caller = fixture.createCallerTo('e1-1');
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
  const before = await fixture.cluster.readStarts();
  const killedProcess = fixture.cluster.server('w2-1').process;
  killedProcess.signal('SIGKILL');
  const answer = expectAnswer(await reply);
  const killedServers = fixture.cluster.servers
    .filter(({process}) => process === killedProcess)
    .map(({name}) => name);
  const startsOnKilled = before.filter(
    ({job: name, server}) =>
      name === `${session}/killed` && killedServers.includes(server),
  );
  assert.notEqual(startsOnKilled.length, 0);
  const failed = listFailed(answer).map(({index}) => index);
  for (const {task} of startsOnKilled) {
    assert.equal(failed.includes(Number(task.split('#')[1])), true);
  }
  for (const {failure} of listFailed(answer)) {
    assert.equal(failure?.ran, RunStatus.MayHaveRun);
  }
});
