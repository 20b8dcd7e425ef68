import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JobProgress} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {ZoneMetrics} from '../src/metrics/index.js';
import {Owner, type HolderClient} from '../src/owner/index.js';
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
): Promise<JobSubmission | undefined> {
  const owner = new Owner({
    selfId: 'owner',
    findHolder: () => (first.submissions.length === 0 ? first : next),
    waitForHolderChange: from =>
      from === 'first' ? Promise.resolve() : new Promise(() => undefined),
    isAlive: () => isFirstAlive,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
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
