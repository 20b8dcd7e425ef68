import assert from 'node:assert/strict';
import {after, before, beforeEach, test} from 'node:test';
import {
  createFailure,
  FailureCode,
  JobState,
  RunStatus,
} from '@goldcrestpier/protocol';
import {createClient, type Client} from '../src/index.js';
import {FakeEntry, failWith} from './fake_entry.js';

const job = {tasks: [{service: 'quotes', payload: {barrels: 12}}]};
const queueFull = createFailure(
  FailureCode.QueueFull,
  {waiting: 5, limit: 5},
  {retryAfterMs: 30},
);

let entry: FakeEntry;
let origin: string;
let client: Client;
let number = 0;
let key: string;

before(async () => {
  entry = new FakeEntry();
  origin = await entry.listen();
});
beforeEach(async () => {
  await client?.close();
  client = createClient({origin, maxTries: 4});
  number += 1;
  key = `job-${number}`;
  entry.seen.length = 0;
  entry.faults = [];
});
after(async () => {
  await client.close();
  await entry.close();
});

/** The requests on this test's job, with its session and key left out. */
function listSteps(): string[] {
  return entry.listJobRequests().map(text => text.replace(/ s\d+ \S+/, ''));
}

test('many jobs share one session', async () => {
  const answers = await Promise.all(
    ['a', 'b', 'c'].map(name => client.submit(job, {key: `${key}-${name}`})),
  );
  assert.ok(answers.every(answer => answer.isOk()));
  const opened = entry.seen.filter(({method}) => method === 'POST');
  assert.equal(opened.length, 1);
});

for (const kind of ['lost-before', 'lost-after', 'garbled'] as const) {
  test(`after an answer ${kind}, the same attempt is sent again`, async () => {
    entry.faults = [{kind}];
    const answer = await client.submit(job, {key});
    assert.equal(answer.unwrap().state, JobState.Complete);
    assert.deepEqual(listSteps(), ['PUT 1', 'PUT 1']);
    assert.equal(
      [...entry.jobs].find(([name]) => name.endsWith(`/${key}`))?.[1].starts,
      1,
    );
  });
}

test('an unreachable owner is asked again with the same attempt', async () => {
  const args = {owner: 'a.b.c'};
  const details = {retryAfterMs: 20};
  entry.faults = [
    failWith(createFailure(FailureCode.OwnerUnreachable, args, details)),
  ];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listSteps(), ['PUT 1', 'PUT 1']);
});

test('a true "not run" is tried again, higher, after Retry-After', async () => {
  entry.faults = [failWith(queueFull), {kind: 'lost-before'}];
  const startedAt = performance.now();
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listSteps(), ['PUT 1', 'PUT 2', 'PUT 2']);
  assert.ok(performance.now() - startedAt >= 25);
});

test('what was refused for good is not asked again', async () => {
  const failure = createFailure(FailureCode.UnknownService, {service: 'x'});
  entry.faults = [failWith(failure)];
  const answer = await client.submit(job, {key});
  assert.deepEqual(answer.unwrapErr(), failure);
  assert.deepEqual(listSteps(), ['PUT 1']);
});

for (const code of [FailureCode.SessionEnded, FailureCode.OwnerLost] as const) {
  test(`after ${code} nothing is resent; the next job opens a session`, async () => {
    const args = {session: 's', owner: 'a.b.c'};
    entry.faults = [failWith(createFailure(code, args))];
    const answer = await client.submit(job, {key});
    assert.equal(answer.unwrapErr().ran, RunStatus.MayHaveRun);
    assert.deepEqual(listSteps(), ['PUT 1']);
    const next = await client.submit(job, {key});
    const [first, second] = entry.listJobRequests();
    assert.ok(next.isOk());
    assert.notEqual(first, second);
  });
}

test('a leaving instance is left for a new session and connection', async () => {
  const failure = createFailure(FailureCode.Leaving, {instance: 'e1'});
  entry.faults = [failWith(failure)];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listSteps(), ['PUT 1', 'PUT 1']);
  const [first, second] = entry.seen.filter(({method}) => method === 'PUT');
  assert.notEqual(first?.path, second?.path);
  assert.notEqual(first?.port, second?.port);
});

test('a full session is followed by a new one', async () => {
  const failure = createFailure(FailureCode.SessionFull, {limit: 1});
  entry.faults = [failWith(failure)];
  assert.ok((await client.submit(job, {key})).isOk());
  const opened = entry.seen.filter(({method}) => method === 'POST');
  assert.equal(opened.length, 2);
});

test('a running job is only read, also past a lost answer', async () => {
  entry.faults = [{kind: 'running'}, {kind: 'lost-after'}, {kind: 'running'}];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listSteps(), ['PUT 1', 'GET', 'GET', 'GET']);
});

test('a refused read of a running job does not resubmit it', async () => {
  entry.faults = [{kind: 'running'}, failWith(queueFull)];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listSteps(), ['PUT 1', 'GET', 'GET']);
});

test('a job that its owner does not know is sent again', async () => {
  const failure = createFailure(FailureCode.JobUnknown, {key});
  entry.faults = [{kind: 'running'}, failWith(failure)];
  assert.ok((await client.submit(job, {key})).isOk());
  assert.deepEqual(listSteps(), ['PUT 1', 'GET', 'PUT 1']);
});

test('a Retry-After past the deadline is reported at once', async () => {
  const failure = {...queueFull, retryAfterMs: 3_600_000};
  entry.faults = [failWith(failure)];
  const answer = await client.submit(job, {key, deadlineMs: 1_000});
  assert.deepEqual(answer.unwrapErr(), failure);
  assert.deepEqual(listSteps(), ['PUT 1']);
});

test('tries are bounded, and an open outcome is said to be open', async () => {
  entry.faults = Array.from({length: 9}, () => ({kind: 'lost-after'}));
  const answer = await client.submit(job, {key});
  assert.equal(answer.unwrapErr().ran, RunStatus.MayHaveRun);
  assert.deepEqual(listSteps(), ['PUT 1', 'PUT 1', 'PUT 1', 'PUT 1']);
});

test('an abort cancels the job and brings its state', async () => {
  const controller = new AbortController();
  entry.faults = Array.from({length: 3}, () => ({kind: 'running'}));
  const submitted = client.submit(job, {key, signal: controller.signal});
  while (!listSteps().includes('GET')) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  entry.faults = [];
  controller.abort();
  const answer = await submitted;
  assert.equal(answer.unwrap().state, JobState.Failed);
  assert.equal(listSteps().at(-1), 'DELETE');
});

test('an abort before the start sends nothing of the job', async () => {
  const signal = AbortSignal.abort();
  const answer = await client.submit(job, {key, signal});
  assert.equal(answer.unwrapErr().code, FailureCode.Cancelled);
  assert.equal(answer.unwrapErr().ran, RunStatus.NotRun);
  assert.deepEqual(listSteps(), []);
});

test('a wrong job is refused without a message', async () => {
  const answer = await client.submit({tasks: []}, {key});
  assert.equal(answer.unwrapErr().code, FailureCode.InvalidRequest);
  assert.match(answer.unwrapErr().message, /job\.tasks: found a list of 0/);
  assert.deepEqual(entry.seen, []);
});

test('with nobody listening, nothing has run', async () => {
  const gone = new FakeEntry();
  const nobody = createClient({origin: await gone.listen(), maxTries: 2});
  await gone.close();
  const answer = await nobody.submit(job, {key});
  assert.equal(answer.unwrapErr().ran, RunStatus.NotRun);
  await nobody.close();
});

test('a job can be read and cancelled by its name', async () => {
  const {session} = (await client.submit(job, {key})).unwrap();
  const read = await client.read({session, key});
  assert.equal(read.unwrap().state, JobState.Complete);
  const cancelled = await client.cancel({session, key});
  assert.equal(cancelled.unwrap().state, JobState.Failed);
});
