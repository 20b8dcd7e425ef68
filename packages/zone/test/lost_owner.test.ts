import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {
  AbandonReason,
  RunEnd,
  TaskHistory,
  type Dispatcher,
} from '@goldcrestpier/dispatch';
import {OverloadDetector} from '../src/holder/overload_detector.js';
import {PendingAnswers} from '../src/holder/pending_answers.js';
import {SubmissionHandler} from '../src/holder/submission_handler.js';
import {toSubmission} from '../src/holder/job_conversion.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {JobAnswer} from '../src/protocol/index.js';
import {
  createDispatcher,
  createJob,
  noopLogger,
  worker,
} from './fixtures/dispatcher.js';
import {createCancellation} from './fixtures/submission_handler.js';

const START = 1_000;
const TICK_MS = 25;
const ownerLost = {kind: 'abandoned', reason: AbandonReason.OwnerLost} as const;

/** A submission handler with one job `a`, and what its owners were told. */
class HandlerFixture {
  readonly answers = new Map<string, JobAnswer>();
  readonly logged: string[] = [];
  readonly startedTasks: string[] = [];
  readonly stoppedTasks: string[] = [];
  readonly pendingAnswers = new PendingAnswers();
  readonly handler: SubmissionHandler;
  private readonly dispatcher: Dispatcher = createDispatcher(START);

  constructor() {
    this.handler = new SubmissionHandler({
      dispatcher: this.dispatcher,
      history: new TaskHistory(),
      pendingAnswers: this.pendingAnswers,
      overloadDetector: new OverloadDetector(TICK_MS),
      logger: {...noopLogger, info: message => this.logged.push(message)},
      metrics: new ZoneMetrics(),
      onChange: () => undefined,
    });
  }

  submit(ownerId: string, now: number): void {
    const message = toSubmission(createJob('a', 1, now), ownerId, false, now);
    void this.handler.submit(message, now).then(answer => {
      this.answers.set(ownerId, answer);
    });
    this.tick(now);
  }

  /** Starts the two tasks of another job, which fill the worker. */
  occupyWorker(now: number): void {
    this.dispatcher.submit(createJob('other', 2, now), false, now);
    this.tick(now);
  }

  /** Makes the worker report that it runs nothing any more. */
  freeWorker(now: number): void {
    const ended = [0, 1].map(index => ({
      sequence: index + 1,
      task: `other.0.0.${index}`,
      run: 1,
      end: RunEnd.Done,
    }));
    const report = {clockMs: 5, bornAt: 1, running: [], ended};
    this.dispatcher.handleReport(worker.id, report, now, now);
  }

  private tick(now: number): void {
    for (const command of this.dispatcher.tick(now)) {
      if (command.kind === 'start') this.startedTasks.push(command.run.key);
      if (command.kind === 'stop') this.stoppedTasks.push(command.key);
    }
  }

  /** Cancels the job of owners that count as lost, then runs one tick. */
  async step(lost: readonly string[], now: number): Promise<void> {
    this.handler.cancelJobsOfLostOwners(id => !lost.includes(id), now);
    this.tick(now);
    for (const ended of this.dispatcher.takeEndedJobs())
      this.handler.answerEndedJob(ended, now);
    this.tick(now);
    await nextTurn();
  }

  /** Makes the worker report the end of a run of the only task. */
  endRun(run: number, end: RunEnd, now: number): void {
    const ended = [{sequence: run, task: 'a.0.0.0', run, end}];
    const report = {clockMs: 5, bornAt: 1, running: [], ended};
    this.dispatcher.handleReport(worker.id, report, now, now);
  }
}

test('an owner that counts as lost is told nothing while a run of its job goes on', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('o-1', START);
  await fixture.step(['o-1'], START + 50);
  await fixture.step([], START + 100);
  assert.deepEqual([...fixture.answers], []);
  fixture.endRun(1, RunEnd.Stopped, START + 200);
  await fixture.step([], START + 200);
  assert.deepEqual([...fixture.answers], [['o-1', ownerLost]]);
  assert.deepEqual(fixture.pendingAnswers.recordIds, []);
});

test('the job of a lost owner is cancelled once, not in each step', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('o-1', START);
  for (const ms of [50, 100, 150]) await fixture.step(['o-1'], START + ms);
  const cancellations = fixture.logged.filter(text => text === 'job cancelled');
  assert.equal(cancellations.length, 1);
});

test('no owner of a job is told anything while a run goes on if all are lost at once', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('o-1', START);
  fixture.submit('o-2', START);
  await fixture.step(['o-1', 'o-2'], START + 50);
  assert.deepEqual([...fixture.answers], []);
});

test('a lost owner is not told of the end of a job that was sent again before that job has ended', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('o-1', START);
  await fixture.step(['o-1'], START + 50);
  fixture.submit('o-2', START + 60);
  await fixture.step(['o-1'], START + 100);
  fixture.endRun(1, RunEnd.Stopped, START + 200);
  await fixture.step(['o-1'], START + 200);
  assert.deepEqual([...fixture.answers], []);
  fixture.endRun(2, RunEnd.Done, START + 400);
  await fixture.step(['o-1'], START + 400);
  const completed = {kind: 'completed'};
  assert.deepEqual([...fixture.answers].sort(), [
    ['o-1', completed],
    ['o-2', completed],
  ]);
  assert.deepEqual(fixture.pendingAnswers.recordIds, []);
});

test('a job that was sent again is stopped when its last owner leaves beside a lost one', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('o-1', START);
  await fixture.step(['o-1'], START + 50);
  fixture.submit('o-2', START + 60);
  fixture.handler.cancel(createCancellation('o-2', 'a'), START + 70);
  fixture.endRun(1, RunEnd.Stopped, START + 200);
  await fixture.step(['o-1'], START + 200);
  assert.deepEqual(fixture.answers.get('o-1'), ownerLost);
  assert.deepEqual(fixture.pendingAnswers.recordIds, []);
});

test('a holder that steps down tells a lost owner that its job is being stopped', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('o-1', START);
  await fixture.step(['o-1'], START + 50);
  fixture.handler.answerNotHolder(START + 60);
  await nextTurn();
  const answer = fixture.answers.get('o-1');
  assert.ok(answer?.kind === 'not_holder');
  assert.equal(answer.isCancelled, true);
});

test('a holder that steps down does not call a job cancelled that another owner waits for', async () => {
  const fixture = new HandlerFixture();
  fixture.submit('o-1', START);
  await fixture.step(['o-1'], START + 50);
  fixture.submit('o-2', START + 60);
  fixture.handler.answerNotHolder(START + 70);
  await nextTurn();
  for (const answer of fixture.answers.values()) {
    assert.ok(answer.kind === 'not_holder');
    assert.equal(answer.isCancelled, undefined);
  }
  assert.equal(fixture.answers.size, 2);
});

test('a job whose owner exits between its submission and its start is not started', async () => {
  const fixture = new HandlerFixture();
  fixture.occupyWorker(START - 10);
  fixture.submit('o-1', START);
  await fixture.step(['o-1'], START + 50);
  fixture.freeWorker(START + 60);
  await fixture.step(['o-1'], START + 60);
  await fixture.step(['o-1'], START + 100);
  assert.deepEqual(fixture.startedTasks, ['other.0.0.0', 'other.0.0.1']);
  assert.notEqual(fixture.answers.get('o-1'), undefined);
});

test('a job whose submission is read after its owner has exited is stopped in the next step', async () => {
  const fixture = new HandlerFixture();
  await fixture.step(['o-1'], START - 50);
  fixture.submit('o-1', START);
  assert.deepEqual(fixture.startedTasks, ['a.0.0.0']);
  await fixture.step(['o-1'], START + 50);
  assert.deepEqual(fixture.stoppedTasks, ['a.0.0.0']);
});
