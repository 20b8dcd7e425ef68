import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {FailureCode, RunStatus, type Failure} from '@goldcrestpier/protocol';
import {
  countStarts,
  createJob,
  expectAnswer,
  expectFailure,
  ReplyKind,
  createSetEdit,
  planThreeZones,
  ClusterFixture,
  type JobBody,
} from '../src/index.js';

const SETTLE_MS = 4_000;
const ENTRY = 'e1-1';

interface Refused {
  readonly session: string;
  readonly key: string;
  readonly failure: Failure;
}

let fixture: ClusterFixture;
const refused: Refused[] = [];

before(async () => {
  const zones = planThreeZones({
    runnersPerZone: 1,
    workersPerZone: 1,
    worker: {processors: 8, memoryMb: 16_384, accelerators: 1},
  });
  fixture = await ClusterFixture.launch({zones});
});

after(() => fixture.close());

/**
 * Submits a job that must be refused, and keeps the refusal for the last test.
 */
async function submitRefused(
  session: string,
  key: string,
  job: JobBody,
  code: FailureCode,
): Promise<void> {
  const caller = fixture.createCallerTo(ENTRY);
  const reply = await caller.submit(session, key, job, {attempt: 1});
  const failure = expectFailure(reply);
  assert.equal(failure.code, code, failure.message);
  assert.equal(failure.ran, RunStatus.NotRun);
  assert.equal(await countStarts(fixture.cluster, session, key), 0);
  refused.push({session, key, failure});
}

/** Sends a request body unchanged. */
async function sendBody(session: string, key: string, body: string) {
  const {url} = fixture.cluster.entry(ENTRY);
  const path = `/v1/sessions/${session}/jobs/${key}?attempt=1`;
  const reply = await fetch(`${url}${path}`, {method: 'PUT', body});
  return (await reply.json()) as Failure;
}

test('a submission that cannot be parsed is refused and runs nothing', async () => {
  const session = await fixture.createCallerTo(ENTRY).openSession();
  const task = {service: 'invoicing', payload: {runMs: 1}};
  const tasks = Array.from({length: 10_000}, () => task);
  const bodies: Array<[string, string, FailureCode]> = [
    ['cut', '{"tasks": [', FailureCode.InvalidJson],
    ['no-tasks', '{"tasks": []}', FailureCode.InvalidRequest],
    ['ten-thousand', JSON.stringify({tasks}), FailureCode.InvalidRequest],
    [
      'one-bad-of-many',
      JSON.stringify({tasks: [task, {service: 7}]}),
      FailureCode.InvalidRequest,
    ],
    [
      'too-large',
      JSON.stringify({tasks: [{...task, payload: 'x'.repeat(64 << 20)}]}),
      FailureCode.BodyTooLarge,
    ],
  ];
  for (const [key, body, code] of bodies) {
    const failure = await sendBody(session, key, body);
    assert.equal(failure.code, code, key);
    assert.equal(failure.ran, RunStatus.NotRun);
    refused.push({session, key, failure});
  }
});

test('a job that no server can ever run is refused at once', async () => {
  const session = await fixture.createCallerTo(ENTRY).openSession();
  await submitRefused(
    session,
    'nobody',
    createJob(3, 10, 'nobody'),
    FailureCode.UnknownService,
  );
  const worker = {processors: 9_000, memoryMb: 1, accelerators: 0};
  await submitRefused(
    session,
    'giant',
    {tasks: [{worker, payload: {runMs: 1}}]},
    FailureCode.ImpossibleNeeds,
  );
  const mixed = [...createJob(2, 10).tasks, {worker, payload: {runMs: 1}}];
  await submitRefused(
    session,
    'mixed',
    {tasks: mixed},
    FailureCode.ImpossibleNeeds,
  );
});

test('a job beyond a quota, the queue limit or its deadline is refused, and so is each copy', async () => {
  const revision = await fixture.editSettings(ENTRY, [
    createSetEdit('/', 'fairness.quotas', {small: 4}),
    createSetEdit('/', 'queue.max_waiting', 100),
  ]);
  await fixture.waitForRevision(revision);
  const caller = fixture.createCallerTo(ENTRY);
  const session = await caller.openSession();
  const small = {...createJob(9, 50), team: 'small'};
  await submitRefused(session, 'quota', small, FailureCode.QuotaExceeded);
  await submitRefused(
    session,
    'queue',
    createJob(900, 50),
    FailureCode.QueueFull,
  );
  // The wait estimate needs a measured rate.
  expectAnswer(await caller.submit(session, 'warm', createJob(60, 50)));
  const load = caller.submit(session, 'load', createJob(90, 600), {attempt: 1});
  await pause(200);
  const tightDeadline = {...createJob(20, 600), deadlineMs: 50};
  await submitRefused(
    session,
    'tight-deadline',
    tightDeadline,
    FailureCode.WaitTooLong,
  );
  await submitRefused(
    session,
    'tight-deadline',
    tightDeadline,
    FailureCode.AttemptClosed,
  );
  for (const {name} of fixture.entries) {
    const copy = await fixture
      .createCallerTo(name)
      .submit(session, 'quota', small, {attempt: 1});
    assert.equal(expectFailure(copy).code, FailureCode.AttemptClosed);
  }
  expectAnswer(await load);
});

test('a used key with other content is refused and starts nothing more', async () => {
  const caller = fixture.createCallerTo(ENTRY);
  const session = await caller.openSession();
  expectAnswer(await caller.submit(session, 'used', createJob(2, 5)));
  const reply = await caller.submit(session, 'used', createJob(5, 5));
  assert.equal(expectFailure(reply).code, FailureCode.ContentConflict);
  assert.equal(await countStarts(fixture.cluster, session, 'used'), 2);
});

test('a submission by idempotency key is refused and runs nothing while the platform is unavailable', async () => {
  const startsBefore = await fixture.cluster.readStarts();
  await fixture.cluster.setPlatformDown(true);
  const caller = fixture.createCallerTo(ENTRY);
  const reply = await caller.submitWithIdempotencyKey(
    'plain-out',
    createJob(3, 5),
  );
  const failure = expectFailure(reply);
  assert.equal(failure.code, FailureCode.PlatformUnavailable);
  // Another instance may have claimed a copy before, so it can't say "not run".
  assert.equal(failure.ran, RunStatus.MayHaveRun);
  assert.notEqual(failure.retryAfterMs, undefined);
  await fixture.cluster.setPlatformDown(false);
  assert.deepEqual(await fixture.cluster.readStarts(), startsBefore);
});

test('an instance that is leaving refuses new jobs and runs none of them', async () => {
  const leaving = fixture.cluster.entry('e2-1');
  const caller = fixture.createCaller(leaving);
  const session = await caller.openSession();
  const load = caller.submit(session, 'load', createJob(8, 1_500));
  await pause(100);
  const stopped = leaving.stop();
  await fixture.waitUntilUnready(leaving);
  const reply = await caller.submit(session, 'late', createJob(3, 5));
  const failure = expectFailure(reply);
  assert.equal(failure.code, FailureCode.Leaving);
  assert.equal(failure.ran, RunStatus.NotRun);
  refused.push({session, key: 'late', failure});
  expectAnswer(await load);
  assert.equal((await stopped).code, 0);
});

test('a job reported as "not run" while servers refuse connections never runs', async () => {
  const caller = fixture.createCallerTo(ENTRY);
  const session = await caller.openSession();
  await fixture.cluster.setFaults({refuseConnections: true});
  const job = {...createJob(6, 5), deadlineMs: 1_500};
  const reply = await caller.submit(session, 'nowhere', job, {attempt: 1});
  await fixture.cluster.setFaults({});
  assert.notEqual(reply.kind, ReplyKind.NoResponse);
  if (reply.kind === ReplyKind.Failure) {
    assert.equal(reply.failure.ran, RunStatus.NotRun);
    refused.push({session, key: 'nowhere', failure: reply.failure});
    return;
  }
  for (const {failure} of expectAnswer(reply).tasks) {
    assert.equal(failure?.ran, RunStatus.NotRun);
  }
  assert.equal(await countStarts(fixture.cluster, session, 'nowhere'), 0);
});

test('no refused job has started some seconds later', async () => {
  await pause(SETTLE_MS);
  const starts = await fixture.cluster.readStarts();
  const jobs = new Set(starts.map(({job}) => job));
  for (const {session, key, failure} of refused) {
    assert.equal(jobs.has(`${session}/${key}`), false, failure.code);
  }
  assert.ok(refused.length >= 11);
});
