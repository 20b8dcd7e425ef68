import assert from 'node:assert/strict';
import {after, before, beforeEach, test} from 'node:test';
import {
  createFailure,
  FailureCode,
  JobState,
  RunStatus,
} from '@goldcrestpier/protocol';
import {createClient, type Client} from '../src/index.js';
import {FakeInstance, failWith} from './fake_instance.js';

const job = {tasks: [{service: 'quotes', payload: {barrels: 12}}]};
const queueFull = createFailure(
  FailureCode.QueueFull,
  {waiting: 5, limit: 5},
  {retryAfterMs: 30},
);

let instance: FakeInstance;
let origin: string;
let client: Client;
let jobNumber = 0;
let key: string;

before(async () => {
  instance = new FakeInstance();
  origin = await instance.listen();
});
beforeEach(async () => {
  await client?.close();
  client = createClient({origin, maxTries: 4});
  jobNumber += 1;
  key = `job-${jobNumber}`;
  instance.requests.length = 0;
  instance.faults = [];
});
after(async () => {
  await client.close();
  await instance.close();
});

/** The requests about this test's job, without session and key. */
function listRequests(): string[] {
  return instance.listJobRequests().map(text => text.replace(/ s\d+ \S+/, ''));
}

test('concurrent jobs share one session', async () => {
  const answers = await Promise.all(
    ['a', 'b', 'c'].map(name => client.submit(job, {key: `${key}-${name}`})),
  );
  assert.ok(answers.every(answer => answer.isOk()));
  const opened = instance.requests.filter(({method}) => method === 'POST');
  assert.equal(opened.length, 1);
});

for (const kind of ['reset-before', 'reset-after', 'malformed'] as const) {
  test(`sends the same attempt again after a fault: ${kind}`, async () => {
    instance.faults = [{kind}];
    const answer = await client.submit(job, {key});
    assert.equal(answer.unwrap().state, JobState.Complete);
    assert.deepEqual(listRequests(), ['PUT 1', 'PUT 1']);
    assert.equal(
      [...instance.jobs].find(([name]) => name.endsWith(`/${key}`))?.[1].starts,
      1,
    );
  });
}

test('sends the same attempt again if the owner is unreachable', async () => {
  const args = {owner: 'a.b.c'};
  const details = {retryAfterMs: 20};
  instance.faults = [
    failWith(createFailure(FailureCode.OwnerUnreachable, args, details)),
  ];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listRequests(), ['PUT 1', 'PUT 1']);
});

test('sends the next attempt after Retry-After if the job was not run', async () => {
  instance.faults = [failWith(queueFull), {kind: 'reset-before'}];
  const startedAt = performance.now();
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listRequests(), ['PUT 1', 'PUT 2', 'PUT 2']);
  assert.ok(performance.now() - startedAt >= 25);
});

test('does not retry after a final failure', async () => {
  const failure = createFailure(FailureCode.UnknownService, {service: 'x'});
  instance.faults = [failWith(failure)];
  const answer = await client.submit(job, {key});
  assert.deepEqual(answer.unwrapErr(), failure);
  assert.deepEqual(listRequests(), ['PUT 1']);
});

for (const code of [FailureCode.SessionEnded, FailureCode.OwnerLost] as const) {
  test(`does not resend a job after ${code}; the next job opens a session`, async () => {
    const args = {session: 's', owner: 'a.b.c'};
    instance.faults = [failWith(createFailure(code, args))];
    const answer = await client.submit(job, {key});
    assert.equal(answer.unwrapErr().ran, RunStatus.MayHaveRun);
    assert.deepEqual(listRequests(), ['PUT 1']);
    const next = await client.submit(job, {key});
    const [first, second] = instance.listJobRequests();
    assert.ok(next.isOk());
    assert.notEqual(first, second);
  });
}

test('opens a new session and connection if the instance is leaving', async () => {
  const failure = createFailure(FailureCode.Leaving, {instance: 'e1'});
  instance.faults = [failWith(failure)];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listRequests(), ['PUT 1', 'PUT 1']);
  const [first, second] = instance.requests.filter(
    ({method}) => method === 'PUT',
  );
  assert.notEqual(first?.path, second?.path);
  assert.notEqual(first?.port, second?.port);
});

test('opens a new session if the session is full', async () => {
  const failure = createFailure(FailureCode.SessionFull, {limit: 1});
  instance.faults = [failWith(failure)];
  assert.ok((await client.submit(job, {key})).isOk());
  const opened = instance.requests.filter(({method}) => method === 'POST');
  assert.equal(opened.length, 2);
});

test('only reads a running job, also after a disconnect', async () => {
  instance.faults = [
    {kind: 'running'},
    {kind: 'reset-after'},
    {kind: 'running'},
  ];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listRequests(), ['PUT 1', 'GET', 'GET', 'GET']);
});

test('does not resubmit a running job after a refused read', async () => {
  instance.faults = [{kind: 'running'}, failWith(queueFull)];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listRequests(), ['PUT 1', 'GET', 'GET']);
});

test('resubmits a job that its owner does not know', async () => {
  const failure = createFailure(FailureCode.JobUnknown, {key});
  instance.faults = [{kind: 'running'}, failWith(failure)];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listRequests(), ['PUT 1', 'GET', 'PUT 1']);
});

test('reports the failure at once if Retry-After exceeds the deadline', async () => {
  const failure = {...queueFull, retryAfterMs: 3_600_000};
  instance.faults = [failWith(failure)];
  const answer = await client.submit(job, {key, deadlineMs: 1_000});
  assert.deepEqual(answer.unwrapErr(), failure);
  assert.deepEqual(listRequests(), ['PUT 1']);
});

test('limits the tries and reports that the job may have run', async () => {
  instance.faults = Array.from({length: 9}, () => ({
    kind: 'reset-after',
  }));
  const answer = await client.submit(job, {key});
  assert.equal(answer.unwrapErr().ran, RunStatus.MayHaveRun);
  assert.deepEqual(listRequests(), ['PUT 1', 'PUT 1', 'PUT 1', 'PUT 1']);
});

test('an abort cancels the job and returns its final state', async () => {
  const controller = new AbortController();
  instance.faults = Array.from({length: 3}, () => ({kind: 'running'}));
  const submitted = client.submit(job, {key, signal: controller.signal});
  while (!listRequests().includes('GET')) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  instance.faults = [];
  controller.abort();
  const answer = await submitted;
  assert.equal(answer.unwrap().state, JobState.Failed);
  assert.equal(listRequests().at(-1), 'DELETE');
});

test('an abort before the submission sends no request about the job', async () => {
  const signal = AbortSignal.abort();
  const answer = await client.submit(job, {key, signal});
  assert.equal(answer.unwrapErr().code, FailureCode.Cancelled);
  assert.equal(answer.unwrapErr().ran, RunStatus.NotRun);
  assert.deepEqual(listRequests(), []);
});

test('rejects an invalid job without sending a request', async () => {
  const answer = await client.submit({tasks: []}, {key});
  assert.equal(answer.unwrapErr().code, FailureCode.InvalidRequest);
  assert.match(answer.unwrapErr().message, /job\.tasks: found a list of 0/);
  assert.deepEqual(instance.requests, []);
});

test('reports not run if nothing listens at the origin', async () => {
  const stopped = new FakeInstance();
  const unconnected = createClient({
    origin: await stopped.listen(),
    maxTries: 2,
  });
  await stopped.close();
  const answer = await unconnected.submit(job, {key});
  assert.equal(answer.unwrapErr().ran, RunStatus.NotRun);
  await unconnected.close();
});

test('reads and cancels a job by its session and key', async () => {
  const {session} = (await client.submit(job, {key})).unwrap();
  const read = await client.read({session, key});
  assert.equal(read.unwrap().state, JobState.Complete);
  const cancelled = await client.cancel({session, key});
  assert.equal(cancelled.unwrap().state, JobState.Failed);
});
