import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createFailure,
  FailureCode,
  JobState,
  jobSchema,
  OutcomeKind,
  RunStatus,
  type PlacementTask,
} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import fc from 'fast-check';
import {Err, Ok} from 'ts-results-es';
import {AdoptedSessions, exportSession, JobOwner} from '../src/index.js';

const MAX_COPY_AGE_MS = 5_000;
const SELF = {zone: 'batangas-1', instance: 'e1', nonce: '0123456789ab'};
const QUEUE_FULL = createFailure(
  FailureCode.QueueFull,
  {waiting: 1, limit: 1},
  {retryAfterMs: 100},
);

function createOwner() {
  const sink = {isFull: false, queued: [] as PlacementTask[], cancelled: 0};
  const owner = new JobOwner({
    self: SELF,
    limits: {
      sessionIdleMs: 60_000,
      maxSessions: 3,
      maxKeysPerSession: 4,
      answersKeptMs: 10_000,
      maxCopyAgeMs: MAX_COPY_AGE_MS,
    },
    sink: {
      enqueue(tasks) {
        if (sink.isFull) return Err(QUEUE_FULL);
        sink.queued.push(...tasks);
        return Ok(undefined);
      },
      cancel(ids) {
        sink.cancelled += ids.length;
      },
    },
    checkJob: () => Ok(undefined),
    counters: {countRefusal: () => undefined, countJob: () => undefined},
    logger: silentLogger,
  });
  const session = owner.openSession(0).unwrap().session;
  const submit = (
    attempt: number | undefined,
    now: number,
    tasks = 1,
    ageMs = 0,
  ) => owner.submit({...createSubmission(session, tasks), attempt, ageMs}, now);
  return {owner, sink, session, submit};
}

function createSubmission(session: string, tasks: number) {
  const job = jobSchema.parse({
    tasks: Array.from({length: tasks}, (_, payload) => ({
      service: 'invoicing',
      payload,
    })),
  });
  return {session, key: 'key', job};
}

function endTask(owner: JobOwner, id: string, now: number): void {
  const outcome = {
    kind: OutcomeKind.Done as const,
    result: id,
    server: 'r1',
    runMs: 1,
  };
  owner.recordTaskEnd(id, outcome, now);
}

test('a refusal closes its attempt permanently; a higher attempt is accepted', () => {
  const {sink, submit} = createOwner();
  sink.isFull = true;
  assert.equal(submit(1, 0).unwrapErr().code, FailureCode.QueueFull);
  sink.isFull = false;
  const copy = submit(1, 1_000_000).unwrapErr();
  assert.equal(copy.code, FailureCode.AttemptClosed);
  assert.equal(copy.ran, RunStatus.NotRun);
  assert.equal(sink.queued.length, 0);
  assert.equal(submit(2, 1_000_001).unwrap().state, JobState.Running);
});

test('without attempt numbers a refused key stays closed until all copies are stale', () => {
  const {sink, submit} = createOwner();
  sink.isFull = true;
  const refused = submit(undefined, 0).unwrapErr();
  assert.equal(refused.retryAfterMs, MAX_COPY_AGE_MS);
  sink.isFull = false;
  const earlyAt = MAX_COPY_AGE_MS - 1;
  const early = submit(undefined, earlyAt).unwrapErr();
  assert.equal(early.code, FailureCode.AttemptClosed);
  // The repeated "not run" answer restarts the full closed period.
  assert.equal(early.retryAfterMs, MAX_COPY_AGE_MS);
  const opensAt = earlyAt + MAX_COPY_AGE_MS;
  assert.equal(submit(undefined, opensAt - 1).isErr(), true);
  assert.equal(submit(undefined, opensAt - 1 + MAX_COPY_AGE_MS).isOk(), true);
});

test('a submission older than the maximum age is refused and its attempt closed', () => {
  const {sink, submit} = createOwner();
  const stale = submit(1, 0, 1, MAX_COPY_AGE_MS + 1).unwrapErr();
  assert.equal(stale.code, FailureCode.StaleSubmission);
  assert.equal(submit(1, 1).unwrapErr().code, FailureCode.AttemptClosed);
  assert.equal(sink.queued.length, 0);
});

test('a job whose tasks all ended without running can be retried with a higher attempt', () => {
  const {owner, sink, submit} = createOwner();
  submit(1, 0, 2).unwrap();
  const failure = createFailure(
    FailureCode.DeadlinePassed,
    {deadlineMs: 1},
    {ran: RunStatus.NotRun},
  );
  for (const {id} of sink.queued) {
    owner.recordTaskEnd(id, {kind: OutcomeKind.Failed, failure}, 1);
  }
  assert.equal(
    submit(1, 2, 2).unwrap().toAnswer().failure?.ran,
    RunStatus.NotRun,
  );
  assert.equal(submit(2, 3, 2).unwrap().state, JobState.Running);
  assert.equal(submit(1, 4, 2).unwrap().header.attempt, 2);
});

test('cancelling a job reports its started tasks as "may have run"', () => {
  const {owner, sink, session, submit} = createOwner();
  submit(1, 0, 2).unwrap();
  owner.recordTaskStart(sink.queued[0]?.id ?? '');
  const answer = owner.cancel(session, 'key', 1).unwrap().toAnswer();
  assert.deepEqual(
    answer.tasks.map(({failure}) => failure?.ran),
    [RunStatus.MayHaveRun, RunStatus.NotRun],
  );
  assert.equal(answer.failure?.ran, RunStatus.MayHaveRun);
  endTask(owner, sink.queued[0]?.id ?? '', 2);
  const later = owner.read(session, 'key', 3).unwrap().toAnswer();
  assert.deepEqual(later, answer);
});

test('the keys of a session and the sessions of an owner are limited', () => {
  const {owner, session} = createOwner();
  const codes = [1, 2, 3, 4, 5].map(number => {
    const copy = {...createSubmission(session, 1), key: `key-${number}`};
    const reply = owner.submit({...copy, attempt: 1, ageMs: 0}, 0);
    return reply.isErr() ? reply.error.code : undefined;
  });
  assert.deepEqual(codes.slice(3), [undefined, FailureCode.SessionFull]);
  owner.openSession(0).unwrap();
  owner.openSession(0).unwrap();
  const refused = owner.openSession(0).unwrapErr();
  assert.equal(refused.code, FailureCode.TooManySessions);
});

test('an answer expires and its key never starts a job again', () => {
  const {owner, sink, session, submit} = createOwner();
  submit(1, 0).unwrap();
  endTask(owner, sink.queued[0]?.id ?? '', 1);
  owner.sweep(20_000);
  assert.equal(submit(1, 20_000).unwrapErr().code, FailureCode.AnswerExpired);
  assert.equal(submit(2, 20_000).unwrapErr().code, FailureCode.AnswerExpired);
  assert.equal(sink.queued.length, 1);
  owner.sweep(200_000);
  const ended = owner.read(session, 'key', 200_000).unwrapErr();
  assert.equal(ended.code, FailureCode.SessionEnded);
});

test('a successor returns the same answer, repeats "not run" and starts no task', () => {
  const {owner, sink, session, submit} = createOwner();
  submit(1, 0).unwrap();
  endTask(owner, sink.queued[0]?.id ?? '', 1);
  const original = owner.read(session, 'key', 2).unwrap().toAnswer();
  owner.leave();
  const late = {
    ...createSubmission(session, 1),
    key: 'late',
    attempt: 1,
    ageMs: 0,
  };
  assert.equal(owner.submit(late, 3).unwrapErr().code, FailureCode.Leaving);
  const successor = new AdoptedSessions(10_000);
  const exported = [...owner.listSessions()].map(exportSession);
  successor.adopt(exported, 0);
  const {job} = createSubmission(session, 1);
  assert.deepEqual(successor.submit(session, 'key', 1, job).unwrap(), original);
  const closed = successor.submit(session, 'late', 1, job).unwrapErr();
  assert.equal(closed.ran, RunStatus.NotRun);
  const newer = successor.submit(session, 'late', 2, job).unwrapErr();
  assert.equal(newer.code, FailureCode.SessionEnded);
  successor.sweep(10_000);
  assert.equal(successor.has(session), false);
});

test('no sequence of copies, refusals and outcomes queues a task twice or after "not run"', () => {
  const step = fc.record({
    attempt: fc.option(fc.integer({min: 1, max: 3}), {nil: undefined}),
    isFull: fc.boolean(),
    passesMs: fc.integer({min: 0, max: 3_000}),
    ageMs: fc.integer({min: 0, max: 6_000}),
    ends: fc.boolean(),
  });
  const property = fc.property(fc.array(step, {maxLength: 30}), steps => {
    const {owner, sink, submit} = createOwner();
    const refused = new Set<number>();
    let now = 0;
    for (const {attempt, isFull, passesMs, ageMs, ends} of steps) {
      now += passesMs;
      sink.isFull = isFull;
      const before = sink.queued.length;
      const reply = submit(attempt, now, 2, ageMs);
      const isStart = sink.queued.length > before;
      if (attempt !== undefined) {
        assert.equal(isStart && refused.has(attempt), false);
        if (reply.isErr()) refused.add(attempt);
      }
      if (ends) for (const {id} of sink.queued) endTask(owner, id, now);
    }
    const ids = sink.queued.map(({id}) => id);
    assert.equal(new Set(ids).size, ids.length);
  });
  fc.assert(property, {seed: 4, numRuns: 500});
});
