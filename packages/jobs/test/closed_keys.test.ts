import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createFailure,
  FailureCode,
  jobSchema,
  RunStatus,
  type Failure,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import {JobOwner} from '../src/index.js';

const MAX_COPY_AGE_MS = 5_000;
const job = jobSchema.parse({tasks: [{service: 'tags', payload: {}}]});

/** Creates an owner whose queue is full until a test clears `isFull`. */
function createOwner() {
  const queue = {isFull: true, taken: 0};
  const noop = () => undefined;
  const owner = new JobOwner({
    self: {zone: 'batangas-1', instance: 'e1', nonce: '0a1b2c3d4e5f6071'},
    limits: {
      sessionIdleMs: 600_000,
      maxSessions: 10,
      maxKeysPerSession: 10,
      answersKeptMs: 60_000,
      maxCopyAgeMs: MAX_COPY_AGE_MS,
    },
    sink: {
      enqueue: () => (queue.isFull ? rejectAsFull() : acceptTasks(queue)),
      cancel: noop,
    },
    checkJob: () => Ok(undefined),
    counters: {countRefusal: noop, countJob: noop},
    logger: {debug: noop, info: noop, warn: noop, error: noop},
  });
  const {session} = owner.openSession(0).unwrap();
  const submit = (now: number, ageMs: number, attempt?: number) =>
    owner.submit({session, key: 'quote', attempt, job, ageMs}, now);
  const read = (now: number) => owner.read(session, 'quote', now);
  return {queue, submit, read};
}

function rejectAsFull(): Result<void, Failure> {
  const full = {waiting: 1, limit: 1};
  return Err(createFailure(FailureCode.QueueFull, full, {retryAfterMs: 50}));
}

function acceptTasks(queue: {taken: number}): Result<void, Failure> {
  queue.taken += 1;
  return Ok(undefined);
}

function expectNotRun(result: Result<unknown, Failure>): number {
  const failure = result.unwrapErr();
  assert.equal(failure.ran, RunStatus.NotRun);
  return failure.retryAfterMs ?? 0;
}

test('a refusal during the closed period extends it for copies already received', () => {
  const {queue, submit} = createOwner();
  expectNotRun(submit(0, 0));
  queue.isFull = false;
  const retryAfterMs = expectNotRun(submit(4_900, 0));
  // Another instance received this copy at 4,800 ms, before the second refusal.
  expectNotRun(submit(5_100, 300));
  assert.equal(queue.taken, 0);
  assert.ok(retryAfterMs >= MAX_COPY_AGE_MS);
  const later = 5_100 + MAX_COPY_AGE_MS;
  assert.equal(submit(later, 0).isOk(), true);
  assert.equal(queue.taken, 1);
});

test('a copy at the maximum age is refused when the closed period ends', () => {
  const {queue, submit} = createOwner();
  expectNotRun(submit(0, 0));
  queue.isFull = false;
  expectNotRun(submit(MAX_COPY_AGE_MS, MAX_COPY_AGE_MS));
  assert.equal(queue.taken, 0);
});

test('a closed attempt stays closed regardless of how late its copy arrives', () => {
  const {queue, submit} = createOwner();
  expectNotRun(submit(0, 0, 1));
  queue.isFull = false;
  expectNotRun(submit(100_000, 0, 1));
  assert.equal(queue.taken, 0);
  assert.equal(submit(100_001, 0, 2).isOk(), true);
});

test('a read never reports "not run", as a new attempt may be in transit', () => {
  const {queue, submit, read} = createOwner();
  expectNotRun(submit(0, 0, 1));
  queue.isFull = false;
  assert.equal(read(10).unwrapErr().ran, RunStatus.MayHaveRun);
  assert.equal(submit(11, 5, 2).isOk(), true);
  assert.equal(queue.taken, 1);
});
