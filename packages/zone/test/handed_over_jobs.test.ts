import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  RunEnd,
  StartAnswer,
  type Dispatcher,
  type Job,
  type JobProgress,
} from '@goldcrestpier/dispatch';
import {toSubmission} from '../src/holder/job_conversion.js';
import type {JobAnswer} from '../src/protocol/index.js';
import {createDispatcher, createJob} from './fixtures/dispatcher.js';
import {
  createCancellation,
  createSubmissionHandler,
} from './fixtures/submission_handler.js';

/** A submission handler on a dispatcher that has held since time 0. */
class HandlerFixture {
  readonly dispatcher: Dispatcher = createDispatcher(0);
  readonly handler = createSubmissionHandler(this.dispatcher);

  /** Submits a job; `progress` is that of an earlier holder. */
  submit(
    job: Job,
    ownerId: string,
    now: number,
    history: {isResumed: boolean; progress?: JobProgress},
  ): Promise<JobAnswer> {
    const message = toSubmission(job, ownerId, history.isResumed, now);
    return this.handler.submit({...message, progress: history.progress}, now);
  }

  /** Runs the dispatcher and answers its start commands. */
  tick(now: number): string[] {
    const commands = this.dispatcher.tick(now);
    for (const command of commands) {
      if (command.kind === 'start')
        this.dispatcher.handleStartAnswer(
          command.run,
          StartAnswer.Started,
          now,
        );
    }
    for (const ended of this.dispatcher.takeEndedJobs())
      this.handler.answerEndedJob(ended, now);
    return commands.map(({kind}) => kind);
  }
}

const isNew = {isResumed: false};
const isResumed = {isResumed: true};

test('the next holder learns of unknown runs of a job that its caller left and sent again', async () => {
  const fixture = new HandlerFixture();
  const job = createJob('a', 1, 5);
  void fixture.submit(job, 'owner-1', 5, isResumed);
  fixture.handler.cancel(createCancellation('owner-1', 'a'), 10);
  fixture.tick(11);
  const answer = fixture.submit(job, 'owner-2', 20, isNew);
  fixture.tick(21);
  fixture.handler.answerNotHolder(22);
  const handover = await answer;
  assert.ok(handover.kind === 'not_holder');
  assert.equal(handover.mayHaveStarted, true);
});

test('a resumed job that waits for its earlier runs to stop keeps the progress of the former holder', () => {
  const fixture = new HandlerFixture();
  const job = createJob('a', 1, 3_000);
  void fixture.submit(job, 'owner-1', 3_000, isNew);
  assert.deepEqual(fixture.tick(3_001), ['start']);
  fixture.handler.cancel(createCancellation('owner-1', 'a'), 3_010);
  assert.deepEqual(fixture.tick(3_011), ['stop']);
  const state = {kind: 'lent', run: 2, zone: 'east', tookMs: 5} as const;
  const task = {key: 'a.0.0.0', lastRun: 2, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  const history = {isResumed: true, progress};
  void fixture.submit(job, 'owner-2', 3_020, history);
  const ended = [{sequence: 1, task: 'a.0.0.0', run: 1, end: RunEnd.Stopped}];
  const report = {clockMs: 50, bornAt: 1, running: [], ended};
  fixture.dispatcher.handleReport('w1', report, 3_050, 3_051);
  fixture.tick(3_052);
  assert.deepEqual(fixture.tick(3_053), ['lend']);
});

test('one of two owners that counts as lost is not answered while the job runs', async () => {
  const fixture = new HandlerFixture();
  const job = createJob('a', 1, 3_000);
  void fixture.submit(job, 'owner-1', 3_000, isNew);
  let isAnswered = false;
  void fixture.submit(job, 'owner-2', 3_001, isNew).then(() => {
    isAnswered = true;
  });
  fixture.tick(3_002);
  fixture.handler.cancelJobsOfLostOwners(id => id !== 'owner-2', 3_700);
  await Promise.resolve();
  assert.equal(isAnswered, false);
});

test('a job is not started that was cancelled before its submission was read', () => {
  const fixture = new HandlerFixture();
  fixture.handler.cancel(createCancellation('owner-1', 'a'), 3_000);
  void fixture.submit(createJob('a', 1, 3_000), 'owner-1', 3_001, isNew);
  assert.deepEqual(fixture.tick(3_002), []);
});

test('a new holder stops what the one before left of a cancelled job at once', () => {
  const fixture = new HandlerFixture();
  const running = ['a', 'b'].map(id => {
    return {task: `${id}.0.0.0`, run: 1, percent: 10};
  });
  const report = {clockMs: 50, bornAt: 1, running, ended: []};
  fixture.dispatcher.handleReport('w1', report, 1, 2);
  assert.deepEqual(fixture.tick(3), []);
  fixture.handler.cancel(createCancellation('owner-1', 'a'), 10);
  assert.equal(fixture.dispatcher.chooseLease('w1', 11), undefined);
  const [stop, ...others] = fixture.dispatcher.tick(12);
  assert.ok(stop?.kind === 'stop' && stop.key === 'a.0.0.0');
  assert.deepEqual(others, []);
});

test('a new holder recalls what the one before delegated of a cancelled job at once', () => {
  const fixture = new HandlerFixture();
  const tasks = ['a', 'b'].map(id => ({key: `${id}.0.0.0`, run: 1}));
  const report = {isComplete: true, tasks};
  fixture.dispatcher.handleDelegationReport('east', report, 2);
  fixture.handler.cancel(createCancellation('owner-1', 'a'), 10);
  const [recall, ...others] = fixture.dispatcher.tick(12);
  assert.ok(recall?.kind === 'recall' && recall.key === 'a.0.0.0');
  assert.deepEqual(others, []);
});
