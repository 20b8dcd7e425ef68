import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createFailure,
  FailureCode,
  JobState,
  RunStatus,
} from '@goldcrestpier/protocol';
import {silentLogger, sleep, type Logger} from '@goldcrestpier/runtime';
import {
  Direction,
  NotSentReason,
  PeerFailureKind,
  RelayAnswerKind,
  UnknownReason,
  type MessageCounter,
  type RelayAnswer,
  type Submission,
} from '../src/index.js';
import {
  createHandlers,
  createHeartbeat,
  createLifecycle,
  jobQuery,
  startPair,
  TIMEOUT_MS,
  waitFor,
} from './fixtures.js';

test('all calls are answered over a single connection', async context => {
  const lifecycle = createLifecycle(context);
  const {server, link} = await startPair(lifecycle);
  const ended = {kind: RelayAnswerKind.Ended};
  const heartbeat = createHeartbeat();
  const submission: Submission = {
    ...jobQuery,
    job: {
      team: 'default',
      deadlineMs: 1000,
      tasks: [{service: 'pricing', repeatable: false, payload: {photo: 'x'}}],
    },
    ownerClock: 1,
  };
  const timeoutMs = TIMEOUT_MS;
  assert.deepEqual(
    (await link.heartbeat(heartbeat, timeoutMs)).unwrap(),
    heartbeat,
  );
  assert.deepEqual((await link.submit(submission, timeoutMs)).unwrap(), ended);
  assert.deepEqual((await link.read(jobQuery, timeoutMs)).unwrap(), ended);
  assert.deepEqual((await link.cancel(jobQuery, timeoutMs)).unwrap(), ended);
  assert.deepEqual(
    (await link.endSession(jobQuery, timeoutMs)).unwrap(),
    ended,
  );
  const handOver = {from: 'east.a.0123456789ab', sessions: []};
  assert.equal((await link.handOver(handOver, timeoutMs)).unwrap(), undefined);
  const settings = await link.readSettings({knownRevision: 7}, timeoutMs);
  assert.deepEqual(settings.unwrap(), {revision: 7});
  const demand = await link.demand({owner: 'x', pools: []}, timeoutMs);
  assert.deepEqual(demand.unwrap(), {grants: []});
  const settled = await link.settle({owner: 'x', ends: []}, timeoutMs);
  assert.deepEqual(settled.unwrap(), {grants: []});
  assert.equal((await link.offer({grants: []}, timeoutMs)).unwrap(), undefined);
  assert.equal(
    (await link.inspect(timeoutMs)).unwrap().incarnation,
    'east.a.0',
  );
  assert.equal(server.connections(), 1);
});

test('answers that arrive out of order are matched to their calls', async context => {
  const lifecycle = createLifecycle(context);
  const handlers = createHandlers({
    readSettings: async ({knownRevision}) => {
      await sleep((knownRevision * 7) % 20);
      return {revision: knownRevision};
    },
  });
  const {link} = await startPair(lifecycle, {handlers});
  const revisions = Array.from({length: 2_000}, (_, index) => index);
  const answers = await Promise.all(
    revisions.map(knownRevision =>
      link.readSettings({knownRevision}, TIMEOUT_MS),
    ),
  );
  const read = answers.map(answer => answer.unwrap().revision);
  assert.deepEqual(read, revisions);
});

test('a failure answered by the owner arrives unchanged', async context => {
  const lifecycle = createLifecycle(context);
  const failure = createFailure(
    FailureCode.QueueFull,
    {waiting: 1, limit: 1},
    {retryAfterMs: 5},
  );
  const answer: RelayAnswer = {kind: RelayAnswerKind.Failure, failure};
  const handlers = createHandlers({submit: () => Promise.resolve(answer)});
  const {link} = await startPair(lifecycle, {
    handlers: {...handlers, read: () => Promise.resolve(answer)},
  });
  assert.deepEqual((await link.read(jobQuery, TIMEOUT_MS)).unwrap(), answer);
});

test('a call that times out has an unknown outcome, and its late answer is ignored', async context => {
  const lifecycle = createLifecycle(context);
  let answer: (value: RelayAnswer) => void = () => undefined;
  const handlers = createHandlers({
    read: () => new Promise(resolve => (answer = resolve)),
  });
  const {link} = await startPair(lifecycle, {handlers});
  const read = await link.read(jobQuery, 20);
  assert.deepEqual(read.unwrapErr(), {
    kind: PeerFailureKind.Unknown,
    reason: UnknownReason.TimedOut,
  });
  answer({kind: RelayAnswerKind.Ended});
  const next = await link.readSettings({knownRevision: 1}, TIMEOUT_MS);
  assert.equal(next.unwrap().revision, 1);
});

test('an error thrown by a handler becomes a typed failure that may have run', async context => {
  const lifecycle = createLifecycle(context);
  const handlers = createHandlers({
    cancel: () => Promise.reject(new Error('secret detail')),
  });
  const {link} = await startPair(lifecycle, {handlers});
  const failure = (await link.cancel(jobQuery, TIMEOUT_MS)).unwrapErr();
  assert.equal(failure.kind, PeerFailureKind.Refused);
  assert.equal(failure.failure.code, FailureCode.InternalFault);
  assert.equal(failure.failure.ran, 'may_have_run');
  assert.doesNotMatch(JSON.stringify(failure), /secret/);
  assert.equal(link.isConnected(), true);
});

test('an answer that does not match the schema leaves the outcome unknown', async context => {
  const lifecycle = createLifecycle(context);
  const invalidAnswer = {kind: RelayAnswerKind.Job} as unknown as RelayAnswer;
  const handlers = createHandlers({read: () => Promise.resolve(invalidAnswer)});
  const {link} = await startPair(lifecycle, {handlers});
  const failure = (await link.read(jobQuery, TIMEOUT_MS)).unwrapErr();
  assert.deepEqual(failure, {
    kind: PeerFailureKind.Unknown,
    reason: UnknownReason.Malformed,
  });
});

test('a message that is too large or not serialisable is not sent', async context => {
  const lifecycle = createLifecycle(context);
  const limits = {maxMessageBytes: 2_000};
  const {link} = await startPair(lifecycle, {limits}, {limits});
  const large = {...jobQuery, key: 'k'.repeat(3_000)};
  const loop: Record<string, unknown> = {};
  loop['self'] = loop;
  const circular = {...jobQuery, loop};
  for (const [message, reason] of [
    [large, NotSentReason.TooLarge],
    [circular, NotSentReason.NotSerializable],
  ] as const) {
    const failure = (await link.read(message, TIMEOUT_MS)).unwrapErr();
    assert.deepEqual(failure, {kind: PeerFailureKind.NotSent, reason});
  }
  const next = await link.readSettings({knownRevision: 1}, TIMEOUT_MS);
  assert.equal(next.isOk(), true);
});

test('an answer over the size limit becomes a typed failure and keeps the connection open', async context => {
  const lifecycle = createLifecycle(context);
  const handlers = createHandlers({
    inspect: () =>
      Promise.resolve({
        incarnation: 'x'.repeat(10_000),
        jobs: [],
        servers: [],
      }),
  });
  const limits = {maxMessageBytes: 10_000};
  const {link} = await startPair(lifecycle, {handlers, limits}, {limits});
  const openedAt = link.connectedAt();
  const failure = (await link.inspect(TIMEOUT_MS)).unwrapErr();
  assert.equal(failure.kind, PeerFailureKind.Refused);
  assert.equal(failure.failure.code, FailureCode.BodyTooLarge);
  assert.equal(failure.failure.ran, RunStatus.MayHaveRun);
  const next = await link.readSettings({knownRevision: 1}, TIMEOUT_MS);
  assert.equal(next.isOk(), true);
  assert.equal(link.connectedAt(), openedAt);
});

test('calls over the limit of one connection are refused as not run', async context => {
  const lifecycle = createLifecycle(context);
  const answers: Array<(value: RelayAnswer) => void> = [];
  const handlers = createHandlers({
    read: () => new Promise(resolve => answers.push(resolve)),
  });
  const limits = {maxCallsInFlight: 3};
  const {link} = await startPair(lifecycle, {handlers, limits});
  const reads = [1, 2, 3].map(() => link.read(jobQuery, TIMEOUT_MS));
  await waitFor('three calls in flight', () => answers.length === 3);
  const refused = (await link.read(jobQuery, TIMEOUT_MS)).unwrapErr();
  assert.equal(refused.kind, PeerFailureKind.Refused);
  assert.equal(refused.failure.code, FailureCode.QueueFull);
  for (const answer of answers) answer({kind: RelayAnswerKind.Ended});
  for (const read of await Promise.all(reads)) assert.equal(read.isOk(), true);
  const next = await link.readSettings({knownRevision: 1}, TIMEOUT_MS);
  assert.equal(next.isOk(), true);
});

test('client and server count the same messages and bytes', async context => {
  const lifecycle = createLifecycle(context);
  const byteTotals = {
    link: new Map<string, number>(),
    server: new Map<string, number>(),
  };
  const countInto = (totals: Map<string, number>): MessageCounter => ({
    count: (direction, call, bytes) => {
      const key = `${direction} ${call}`;
      totals.set(key, (totals.get(key) ?? 0) + bytes);
    },
  });
  const {link} = await startPair(
    lifecycle,
    {messageCounter: countInto(byteTotals.server)},
    {messageCounter: countInto(byteTotals.link)},
  );
  await link.heartbeat(createHeartbeat(), TIMEOUT_MS);
  const received = `${Direction.Received} heartbeat`;
  const sent = `${Direction.Sent} heartbeat`;
  assert.ok((byteTotals.link.get(sent) ?? 0) > 0);
  assert.equal(byteTotals.link.get(sent), byteTotals.server.get(received));
  assert.equal(byteTotals.link.get(received), byteTotals.server.get(sent));
});

test('the answer with all tasks of a large job arrives unchanged', async context => {
  const lifecycle = createLifecycle(context);
  const tasks = Array.from({length: 690}, (_, index) => ({
    index,
    state: 'done',
    result: {price: index, note: 'ñ'.repeat(50)},
  }));
  const answer = {
    kind: RelayAnswerKind.Job,
    answer: {...jobQuery, attempt: 1, state: JobState.Complete, tasks},
  } as unknown as RelayAnswer;
  const handlers = createHandlers({read: () => Promise.resolve(answer)});
  const {link} = await startPair(lifecycle, {handlers});
  const read = (await link.read(jobQuery, TIMEOUT_MS)).unwrap();
  assert.equal(read.kind, RelayAnswerKind.Job);
  assert.deepEqual(read.answer.tasks, tasks);
});

test('a failed call is logged with its name and code, and answered', async context => {
  const lifecycle = createLifecycle(context);
  const lines: string[] = [];
  const logger: Logger = {
    ...silentLogger,
    warn: (message, fields) => {
      lines.push(`${message} ${fields?.['call']} ${fields?.['code']}`);
    },
  };
  const handlers = createHandlers({
    settle: () => Promise.reject(new Error('no such owner')),
  });
  const {link} = await startPair(lifecycle, {handlers, logger});
  const answer = await link.settle({owner: 'x', ends: []}, TIMEOUT_MS);
  const failure = answer.unwrapErr();
  assert.ok('failure' in failure);
  assert.equal(failure.failure.code, FailureCode.InternalFault);
  assert.deepEqual(lines, ['call failed settle INTERNAL_SERVER_ERROR']);
});
