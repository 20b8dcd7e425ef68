import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  TaskHistory,
  RefusalReason,
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
import {findHolderWaitEnd} from '../src/owner/holder_wait.js';
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
  // The wall clock has moved a little since.
  assert.equal(Math.ceil(answer.retryAfterMs / 10_000), 6);
});

test('a job waits for a holder only as long as it can end in time', () => {
  const short = createJob('a', 1, 5_000);
  assert.equal(findHolderWaitEnd(short), 5_180);
  const [step] = short.steps;
  assert.ok(step !== undefined);
  const long = {...short, steps: [{...step, estimateMs: 9_000}]};
  assert.equal(findHolderWaitEnd(long), 6_000);
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
