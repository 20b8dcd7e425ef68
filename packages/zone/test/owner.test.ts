import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JobProgress} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {ZoneMetrics} from '../src/metrics/index.js';
import {Owner, type HolderTarget} from '../src/owner/index.js';
import type {JobAnswer, JobSubmission} from '../src/protocol/index.js';
import {createJob, fail, quiet} from './fixtures/scene.js';

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

/** A holder that gives one answer, and notes what it is handed. */
class FakeHolder implements HolderTarget {
  readonly taken: JobSubmission[] = [];

  constructor(
    readonly id: string,
    private readonly answer: Promise<JobAnswer>,
  ) {}

  async submit(message: JobSubmission) {
    this.taken.push(message);
    return Ok(await this.answer);
  }

  cancel(): Promise<boolean> {
    return fail();
  }
}

/** Hands a job to `first`, and to `next` once that has been given up. */
async function runWith(
  first: FakeHolder,
  next: FakeHolder,
  {isFirstAlive}: {isFirstAlive: boolean},
): Promise<JobSubmission | undefined> {
  const owner = new Owner({
    selfId: 'owner',
    findHolder: () => (first.taken.length === 0 ? first : next),
    waitForChange: from =>
      from === 'first' ? Promise.resolve() : new Promise(() => undefined),
    isAlive: () => isFirstAlive,
    onHolderMissed: () => undefined,
    logger: quiet,
    metrics: new ZoneMetrics(),
  });
  const job = createJob('a', 1, readClock());
  await owner.run(job, new AbortController().signal);
  return next.taken[0];
}

const completed = Promise.resolve({kind: 'completed'} as const);

test('a holder that lives is heard out before its job goes to the next', async () => {
  const lastWord = new Promise<JobAnswer>(resolve => {
    const answer = {
      kind: 'not_holder',
      mayHaveStarted: true,
      progress,
    } as const;
    setTimeout(() => resolve(answer), 20);
  });
  const first = new FakeHolder('first', lastWord);
  const next = new FakeHolder('next', completed);
  const taken = await runWith(first, next, {isFirstAlive: true});
  assert.equal(taken?.isResumed, true);
  assert.deepEqual(taken.progress, progress);
});

test('a job of a silent holder goes on without a word of what was started', async () => {
  const first = new FakeHolder('first', new Promise(() => undefined));
  const next = new FakeHolder('next', completed);
  const taken = await runWith(first, next, {isFirstAlive: false});
  assert.equal(taken?.isResumed, true);
  assert.equal(taken.progress, undefined);
});
