import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createFailure,
  FailureCode,
  jobSchema,
  Ran,
  type Failure,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import {JobOwner} from '../src/index.js';

const LIFE_MS = 5_000;
const job = jobSchema.parse({tasks: [{service: 'tags', payload: {}}]});

/** An owner whose queue is full until it is told otherwise. */
function openOwner() {
  const queue = {isFull: true, taken: 0};
  const nothing = () => undefined;
  const owner = new JobOwner({
    self: {zone: 'batangas-1', instance: 'e1', nonce: '0a1b2c3d4e5f6071'},
    limits: {
      sessionIdleMs: 600_000,
      maxSessions: 10,
      maxKeysPerSession: 10,
      answersKeptMs: 60_000,
      maxCopyAgeMs: LIFE_MS,
    },
    sink: {
      enqueue: () => (queue.isFull ? refuseFull() : take(queue)),
      cancel: nothing,
    },
    checkJob: () => Ok(undefined),
    counters: {countRefusal: nothing, countJob: nothing},
    logger: {debug: nothing, info: nothing, warn: nothing, error: nothing},
  });
  const {session} = owner.openSession(0).unwrap();
  const submit = (now: number, ageMs: number, attempt?: number) =>
    owner.submit({session, key: 'quote', attempt, job, ageMs}, now);
  return {queue, submit};
}

function refuseFull(): Result<void, Failure> {
  const full = {waiting: 1, limit: 1};
  return Err(createFailure(FailureCode.QueueFull, full, {retryAfterMs: 50}));
}

function take(queue: {taken: number}): Result<void, Failure> {
  queue.taken += 1;
  return Ok(undefined);
}

function expectNotRun(result: Result<unknown, Failure>): number {
  const failure = result.unwrapErr();
  assert.equal(failure.ran, Ran.NotRun);
  return failure.retryAfterMs ?? 0;
}

test('a refusal while the key is closed holds for the copies of its own time too', () => {
  const {queue, submit} = openOwner();
  expectNotRun(submit(0, 0));
  queue.isFull = false;
  const retryAfterMs = expectNotRun(submit(4_900, 0));
  // Received at 4,800 by another instance, before the second refusal.
  expectNotRun(submit(5_100, 300));
  assert.equal(queue.taken, 0);
  assert.ok(retryAfterMs >= LIFE_MS);
  const later = 5_100 + LIFE_MS;
  assert.equal(submit(later, 0).isOk(), true);
  assert.equal(queue.taken, 1);
});

test('a copy as old as the limit is refused when its key opens', () => {
  const {queue, submit} = openOwner();
  expectNotRun(submit(0, 0));
  queue.isFull = false;
  expectNotRun(submit(LIFE_MS, LIFE_MS));
  assert.equal(queue.taken, 0);
});

test('a closed attempt stays closed however late its copy comes', () => {
  const {queue, submit} = openOwner();
  expectNotRun(submit(0, 0, 1));
  queue.isFull = false;
  expectNotRun(submit(100_000, 0, 1));
  assert.equal(queue.taken, 0);
  assert.equal(submit(100_001, 0, 2).isOk(), true);
});
