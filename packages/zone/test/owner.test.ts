import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  TaskHistory,
  RefusalReason,
  type Job,
  type JobProgress,
} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {ZoneMetrics} from '../src/metrics/index.js';
import {
  Owner,
  OwnerRefusal,
  type HolderClient,
  type OwnerAnswer,
} from '../src/owner/index.js';
import {findHolderWaitEnd, HolderWaits} from '../src/owner/holder_wait.js';
import type {JobAnswer, JobSubmission} from '../src/protocol/index.js';
import {createJob, failOnCall, noopLogger} from './fixtures/dispatcher.js';

const progress: JobProgress = {
  isComplete: true,
  tasks: [
    {
      key: 'a.0.0.0',
      lastRun: 1,
      failures: 0,
      state: {kind: 'running', run: 1, workerId: 'w1', tookMs: 20},
    },
  ],
};

/** A holder that gives one answer and records the jobs submitted to it. */
class FakeHolder implements HolderClient {
  readonly submissions: JobSubmission[] = [];

  constructor(
    readonly id: string,
    private readonly answer: Promise<JobAnswer>,
  ) {}

  async submit(message: JobSubmission) {
    this.submissions.push(message);
    return Ok(await this.answer);
  }

  cancel(): Promise<boolean> {
    return failOnCall();
  }
}

/** Submits a job to `first`, then to `next`; returns the submission to `next`. */
async function runWithHolders(
  first: FakeHolder,
  next: FakeHolder,
  {isFirstAlive}: {isFirstAlive: boolean},
  history = new TaskHistory(),
  metrics = new ZoneMetrics(),
): Promise<JobSubmission | undefined> {
  const owner = new Owner({
    history,
    selfId: 'owner',
    findHolder: () => (first.submissions.length === 0 ? first : next),
    waitForHolderChange: from =>
      from === 'first' ? Promise.resolve() : new Promise(() => undefined),
    isAlive: () => isFirstAlive,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics,
  });
  const job = createJob('a', 1, readClock());
  await owner.run(job, new AbortController().signal);
  return next.submissions[0];
}

const completed = Promise.resolve({kind: 'completed'} as const);

test('a live holder can report its progress before its job goes to the next holder', async () => {
  const finalAnswer = new Promise<JobAnswer>(resolve => {
    const answer = {
      kind: 'not_holder',
      mayHaveStarted: true,
      progress,
    } as const;
    setTimeout(() => resolve(answer), 20);
  });
  const first = new FakeHolder('first', finalAnswer);
  const next = new FakeHolder('next', completed);
  const submission = await runWithHolders(first, next, {isFirstAlive: true});
  assert.equal(submission?.isResumed, true);
  assert.deepEqual(submission.progress, progress);
});

test('a job of a silent holder is resubmitted without progress', async () => {
  const first = new FakeHolder('first', new Promise(() => undefined));
  const next = new FakeHolder('next', completed);
  const submission = await runWithHolders(first, next, {isFirstAlive: false});
  assert.equal(submission?.isResumed, true);
  assert.equal(submission.progress, undefined);
});

/** Runs a job in a zone that has no holder before `holderExpectedAt`. */
function runWithoutHolder(
  arrivedAt: number,
  holderExpectedAt: number | undefined,
): Promise<OwnerAnswer> {
  const owner = new Owner({
    history: new TaskHistory(),
    selfId: 'owner',
    findHolder: () => undefined,
    waitForHolderChange: failOnCall,
    isAlive: failOnCall,
    holderExpectedAt: () => holderExpectedAt,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
  });
  const job = createJob('a', 1, arrivedAt);
  return owner.run(job, new AbortController().signal);
}

test('a job that no holder can end in time is refused at once', async () => {
  const now = readClock();
  const answer = await runWithoutHolder(now, now + 60_000);
  assert.ok(answer.kind === 'refused');
  assert.equal(answer.reason, OwnerRefusal.NoHolder);
  // The wall clock has moved a little since; the holder places 400 ms later.
  assert.ok(answer.retryAfterMs <= 60_400, `${answer.retryAfterMs}`);
  assert.ok(answer.retryAfterMs > 59_900, `${answer.retryAfterMs}`);
});

function withEstimate(job: Job, estimateMs: number): Job {
  const steps = job.steps.map(step => ({...step, estimateMs}));
  return {...job, steps};
}

// Guards against refusals of jobs that the next holder could still serve.
test('a job waits for a holder as long as it can end usefully', () => {
  const job = createJob('a', 1, 5_000);
  // Useful for 3 x (1.6 x 200 + 60) ms, of which a run takes 140 at least.
  assert.equal(findHolderWaitEnd(job), 6_000);
  // Useful for 3 x (1.6 x 60 + 60) ms, of which a run takes 42 at least.
  assert.equal(findHolderWaitEnd(withEstimate(job, 60)), 5_426);
  // The deadline is 1,500 ms after the arrival, and a run takes 630 at least.
  assert.equal(findHolderWaitEnd(withEstimate(job, 900)), 5_870);
  // Nothing of it can end before the deadline.
  assert.ok(findHolderWaitEnd(withEstimate(job, 9_000)) < 5_000);
  const patient = {...withEstimate(job, 9_000), deadlineAt: 65_000};
  assert.equal(findHolderWaitEnd(patient), 8_000);
});

// Guards against waiting jobs that fill the memory of their owner.
test('a limited number of jobs waits for a holder', () => {
  const waits = new HolderWaits();
  const requests = Array.from({length: 801}, (_, index) => ({
    job: createJob(`a${index}`, 1, 0),
  }));
  const [first, ...others] = requests;
  const last = others.pop();
  assert.ok(first !== undefined && last !== undefined);
  for (const request of [first, ...others]) assert.ok(waits.add(request));
  assert.ok(!waits.add(last));
  assert.ok(waits.add(first), 'waits already');
  waits.remove(first);
  assert.ok(waits.add(last));
  assert.equal(waits.count, 800);
});

// Guards against refusals shortly before the zone has a holder again.
test('a job whose slack is over is served by the next holder', async () => {
  const holder = new FakeHolder('next', completed);
  const at = readClock();
  const owner = new Owner({
    history: new TaskHistory(),
    selfId: 'owner',
    findHolder: () => (readClock() < at + 250 ? undefined : holder),
    waitForHolderChange: () => new Promise(() => undefined),
    isAlive: failOnCall,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
  });
  // Its objective is 380 ms after its arrival, its slack 180 ms.
  const answer = await owner.run(
    createJob('a', 1, at),
    new AbortController().signal,
  );
  assert.equal(answer.kind, 'completed');
});

test('the next holder is told of the crashes under the tasks of a job', async () => {
  const history = new TaskHistory();
  const at = readClock();
  const crash = {workerId: 'w1', workerBornAt: 1, isShared: false};
  history.crashes.record({...crash, task: 'a.0.0.0'}, at);
  history.crashes.record({...crash, task: 'b.0.0.0'}, at);
  const submission = await runWithHolders(
    new FakeHolder('first', new Promise<JobAnswer>(() => undefined)),
    new FakeHolder('next', completed),
    {isFirstAlive: false},
    history,
  );
  const told = submission?.crashes?.map(({task}) => task);
  assert.deepEqual(told, ['a.0.0.0']);
});

/** Runs a job whose first holder falls silent; returns the owner's metrics. */
async function formatMetricsAfterLoss(answer: JobAnswer): Promise<string> {
  const first = new FakeHolder('first', new Promise(() => undefined));
  const next = new FakeHolder('next', Promise.resolve(answer));
  const metrics = new ZoneMetrics();
  await runWithHolders(
    first,
    next,
    {isFirstAlive: false},
    new TaskHistory(),
    metrics,
  );
  return metrics.format();
}

test('a caller that is told 504 while runs of its job may go on is counted', async () => {
  const reason = RefusalReason.TooLate;
  const refusal = {kind: 'refused', reason, retryAfterMs: 10} as const;
  assert.match(
    await formatMetricsAfterLoss(refusal),
    /^goldcrestpier_early_answers_total\{reason="holder_lost"\} 1$/m,
  );
});

test('a caller whose job has ended at a later holder is not counted', async () => {
  assert.doesNotMatch(
    await formatMetricsAfterLoss({kind: 'completed'}),
    /^goldcrestpier_early_answers_total\{/m,
  );
});

test('a job that its holder was stopping when it stepped down is not run again, and its caller is told only when all runs are over', async () => {
  const answer = {
    kind: 'not_holder',
    mayHaveStarted: true,
    progress,
    isCancelled: true,
  } as const;
  const first = new FakeHolder('first', Promise.resolve(answer));
  const next = new FakeHolder('next', completed);
  const startedAt = readClock();
  await runWithHolders(first, next, {isFirstAlive: true});
  assert.equal(next.submissions.length, 0);
  assert.ok(readClock() - startedAt >= 1_990);
});
