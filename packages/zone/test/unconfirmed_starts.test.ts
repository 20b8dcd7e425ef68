import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  StartAnswer,
  TaskHistory,
  WorkerRequestFailure,
} from '@goldcrestpier/dispatch';
import {toSubmission} from '../src/holder/job_conversion.js';
import type {JobAnswer} from '../src/protocol/index.js';
import {createDispatcher, createJob, worker} from './fixtures/dispatcher.js';
import {createSubmissionHandler} from './fixtures/submission_handler.js';

/** The deadline of a job that arrives at time 0. */
const {deadlineAt} = createJob('a', 1, 0);

/** A submission handler whose only worker never answers a start command. */
class HandlerFixture {
  readonly answers: (JobAnswer & {owner: string})[] = [];
  private readonly history = new TaskHistory();
  private readonly dispatcher = createDispatcher(-10_000, this.history);
  private readonly handler = createSubmissionHandler(
    this.dispatcher,
    this.history,
  );

  submit(owner: string, now: number): void {
    const message = toSubmission(createJob('a', 1, now), owner, false, now);
    void this.handler
      .submit(message, now)
      .then(answer => this.answers.push({...answer, owner}));
  }

  /** Runs the dispatcher while the worker stays silent. */
  async tick(now: number): Promise<void> {
    const {Unanswered} = WorkerRequestFailure;
    for (const command of this.dispatcher.tick(now)) {
      if (command.kind !== 'start') continue;
      const {run} = command;
      this.dispatcher.recordLease(worker.id, now);
      this.dispatcher.handleStartAnswer(run, StartAnswer.Unanswered, now);
      this.dispatcher.handlePollFailure(worker.id, Unanswered, now);
    }
    this.handler.answerJobs(this.dispatcher.takeEndedJobs(), now);
    await Promise.resolve();
    await Promise.resolve();
  }
}

/** Time by which the lease of the start has expired, in ms. */
const AFTER_LEASE_MS = 1_300;
const isBlocked = {kind: 'abandoned', reason: 'start_unanswered'} as const;

test('the owner of a job with an unconfirmed start is answered when its lease is over', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('owner-1', 0);
  await fixture.tick(0);
  await fixture.tick(1_000);
  assert.deepEqual(fixture.answers, []);
  await fixture.tick(AFTER_LEASE_MS);
  assert.deepEqual(fixture.answers, [{...isBlocked, owner: 'owner-1'}]);
});

test('the owner of a job that waits for an unconfirmed start of it is answered at once', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('owner-1', 0);
  await fixture.tick(0);
  await fixture.tick(deadlineAt);
  fixture.submit('owner-2', 2_000);
  await fixture.tick(2_000);
  assert.deepEqual(fixture.answers[1], {...isBlocked, owner: 'owner-2'});
});

test('the owner of a job that is sent again is answered at its deadline if an unconfirmed start ends before', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('owner-1', 0);
  await fixture.tick(0);
  await fixture.tick(deadlineAt);
  const lateAt = 12_500;
  fixture.submit('owner-2', lateAt);
  await fixture.tick(lateAt);
  assert.equal(fixture.answers.length, 1);
});
