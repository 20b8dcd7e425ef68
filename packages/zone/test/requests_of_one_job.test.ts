import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {
  AbandonReason,
  RunEnd,
  StartAnswer,
  TaskHistory,
  type Dispatcher,
  type Job,
  type JobProgress,
} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {toSubmission} from '../src/holder/job_conversion.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {Owner, type HolderClient} from '../src/owner/index.js';
import type {JobAnswer} from '../src/protocol/index.js';
import {ControlledHolder} from './fixtures/controlled_holder.js';
import {
  createDispatcher,
  createJob,
  noopLogger,
} from './fixtures/dispatcher.js';
import {createSubmissionHandler} from './fixtures/submission_handler.js';

/** What is known of a job from before a request for it. */
interface Request {
  readonly ownerId: string;
  readonly request?: number;
  readonly progress?: JobProgress;
}

/** A submission handler on a dispatcher that has held since time 0. */
class HandlerFixture {
  readonly dispatcher: Dispatcher = createDispatcher(0);
  readonly handler = createSubmissionHandler(this.dispatcher);

  /** Submits a job; a request with progress was at an earlier holder. */
  submit(job: Job, request: Request, now: number): Promise<JobAnswer> {
    const {ownerId, progress} = request;
    const message = toSubmission(job, ownerId, progress !== undefined, now);
    return this.handler.submit({...message, ...request}, now);
  }

  /** Cancels the requests of an owner up to one, whose callers have left. */
  cancel(ownerId: string, lastRequest: number, now: number): void {
    const reason = AbandonReason.CallerLeft;
    this.handler.cancel({ownerId, jobId: 'a', lastRequest, reason}, now);
  }

  /** Runs the dispatcher, whose starts are confirmed; returns its commands. */
  tick(now: number): string[] {
    const commands = this.dispatcher.tick(now);
    for (const command of commands) {
      if (command.kind !== 'start') continue;
      const {run} = command;
      this.dispatcher.handleStartAnswer(run, StartAnswer.Started, now);
    }
    this.handler.answerJobs(this.dispatcher.takeEndedJobs(), now);
    return commands.map(({kind}) => kind);
  }

  /** Reports that the first run of the job's only task was stopped. */
  endStoppedRun(now: number): void {
    const ended = [{sequence: 1, task: 'a.0.0.0', run: 1, end: RunEnd.Stopped}];
    const report = {clockMs: 50, bornAt: 1, running: [], ended};
    this.dispatcher.handleReport('w1', report, now - 1, now);
  }

  /** Starts the job for one owner, whose caller leaves while it runs. */
  abandonStartedJob(job: Job, now: number): void {
    void this.submit(job, {ownerId: 'owner-1', request: 1}, now);
    assert.deepEqual(this.tick(now + 1), ['start']);
    this.cancel('owner-1', 1, now + 10);
    assert.deepEqual(this.tick(now + 11), ['stop']);
  }
}

test('a cancelled request does not start after the cancellation of an earlier one arrives late', () => {
  const fixture = new HandlerFixture();
  fixture.cancel('owner-1', 2, 3_000);
  fixture.cancel('owner-1', 1, 3_001);
  const request = {ownerId: 'owner-1', request: 2};
  void fixture.submit(createJob('a', 1, 3_000), request, 3_002);
  assert.deepEqual(fixture.tick(3_003), []);
});

test('a cancelled request does not start if it arrives after a cancellation that found an earlier one waiting', () => {
  const fixture = new HandlerFixture();
  const job = createJob('a', 1, 3_000);
  void fixture.submit(job, {ownerId: 'owner-1', request: 1}, 3_000);
  fixture.cancel('owner-1', 2, 3_001);
  fixture.tick(3_002);
  void fixture.submit(job, {ownerId: 'owner-1', request: 2}, 3_003);
  assert.deepEqual(fixture.tick(3_004), []);
});

test('a request that joins a postponed one does not discard its progress at the former holder', () => {
  const fixture = new HandlerFixture();
  const job = createJob('a', 1, 3_000);
  fixture.abandonStartedJob(job, 3_000);
  const state = {kind: 'lent', run: 2, zone: 'east', tookMs: 5} as const;
  const task = {key: 'a.0.0.0', lastRun: 2, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  void fixture.submit(job, {ownerId: 'owner-2', progress}, 3_020);
  void fixture.submit(job, {ownerId: 'owner-3'}, 3_021);
  fixture.endStoppedRun(3_051);
  fixture.tick(3_052);
  assert.deepEqual(fixture.tick(3_053), ['lend']);
});

test('a postponed request is not answered at the deadline of one that joins it', async () => {
  const fixture = new HandlerFixture();
  const job = createJob('a', 1, 3_000);
  fixture.abandonStartedJob(job, 3_000);
  const answer = fixture.submit(job, {ownerId: 'owner-2'}, 3_020);
  const short = {...job, deadlineAt: 3_040};
  void fixture.submit(short, {ownerId: 'owner-3'}, 3_021);
  fixture.tick(3_041);
  const pending = Promise.resolve('pending');
  assert.equal(await Promise.race([answer, pending]), 'pending');
});

test('a request that joins a postponed one is answered at its own deadline', async () => {
  const fixture = new HandlerFixture();
  const job = createJob('a', 1, 3_000);
  fixture.abandonStartedJob(job, 3_000);
  void fixture.submit(job, {ownerId: 'owner-2'}, 3_020);
  const short = {...job, deadlineAt: 3_040};
  const answer = fixture.submit(short, {ownerId: 'owner-3'}, 3_021);
  fixture.tick(3_041);
  const pending = Promise.resolve({kind: 'pending'});
  const {kind} = await Promise.race([answer, pending]);
  assert.equal(kind, 'abandoned');
});

test('a request that arrives as a postponed one ends is not given its answer', async () => {
  const stop = () => Promise.resolve(Ok(undefined));
  const fixture = new ControlledHolder({stop});
  const {holder} = fixture;
  const job = createJob('a', 1, readClock());
  const submit = (ownerId: string, progress?: JobProgress) => {
    const isResumed = progress !== undefined;
    const message = toSubmission(job, ownerId, isResumed, readClock());
    return holder.submit({...message, request: 1, progress});
  };
  try {
    await settle();
    void submit('owner-1');
    await settle();
    const reason = AbandonReason.CallerLeft;
    holder.cancel({ownerId: 'owner-1', jobId: 'a', lastRequest: 1, reason});
    const task = {key: 'a.0.0.0', lastRun: 1, failures: 0};
    const tasks = [{...task, state: {kind: 'done'} as const}];
    const postponed = submit('owner-2', {isComplete: true, tasks});
    await settle();
    fixture.endTask('a');
    await finishMicrotasks();
    const answer = submit('owner-3');
    assert.equal((await postponed).kind, 'completed');
    const pending = Promise.resolve('pending');
    assert.equal(await Promise.race([answer, pending]), 'pending');
  } finally {
    await fixture.lifecycle.close();
  }
});

/** Lets the messages and the holder's work go on. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await nextTurn();
}

/** Lets what has arrived be handled, within this turn of the event loop. */
async function finishMicrotasks(): Promise<void> {
  for (let step = 0; step < 50; step += 1) await Promise.resolve();
}

/** A holder that is reached only by the first request. */
class LostHolder implements HolderClient {
  readonly id = 'holder';
  readonly cancelled: number[] = [];
  submissions = 0;

  submit(): ReturnType<HolderClient['submit']> {
    this.submissions += 1;
    if (this.submissions === 1) return new Promise(() => undefined);
    const refused = {
      kind: 'abandoned',
      reason: AbandonReason.Deadline,
    } as const;
    return Promise.resolve(Ok(refused));
  }

  cancel({lastRequest}: {lastRequest: number}): Promise<boolean> {
    this.cancelled.push(lastRequest);
    return Promise.resolve(true);
  }
}

test('a request whose caller left is cancelled when a later request for its job has been answered', async () => {
  const holder = new LostHolder();
  const owner = new Owner({
    selfId: 'owner',
    history: new TaskHistory(),
    findHolder: () => holder,
    waitForHolderChange: () => new Promise(() => undefined),
    isAlive: () => true,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
  });
  const job = createJob('a', 1, readClock());
  const first = new AbortController();
  void owner.run(job, first.signal);
  const second = owner.run(job, new AbortController().signal);
  first.abort();
  await second;
  assert.deepEqual(holder.cancelled, [2]);
});
