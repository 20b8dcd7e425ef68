import assert from 'node:assert/strict';
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import {test} from 'node:test';
import {RunEnd, StartAnswer, type Look} from '@goldcrestpier/dispatch';
import {Lifecycle, readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {Holder} from '../src/holder/index.js';
import {toSubmission} from '../src/holder/to_job.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {WorkerPort} from '../src/ports/index.js';
import type {JobAnswer} from '../src/protocol/index.js';
import {bounds, createJob, fail, quiet, worker} from './fixtures/scene.js';

const idle: Look = {clockMs: 5, bornAt: 1, running: [], ended: []};

/** A worker that tells of an end when the test says so. */
class Stage {
  readonly lifecycle = new Lifecycle('test');
  readonly holder: Holder;
  private tell: (look: Look) => void = fail;

  constructor(first: Look = idle) {
    const look = new Promise<Look>(resolve => (this.tell = resolve));
    let looks = 0;
    const port: WorkerPort = {
      start: () => Promise.resolve({answer: StartAnswer.Started, clockMs: 5}),
      stop: fail,
      look: async (_order, signal) => {
        looks += 1;
        if (looks === 1) return Ok(first);
        const aborted = new Promise<Look>(resolve => {
          signal.addEventListener('abort', () => resolve(idle));
        });
        return Ok(await Promise.race([look, aborted]));
      },
    };
    this.holder = new Holder({
      zone: 'z',
      findZone: () => undefined,
      token: 7,
      bounds,
      port,
      logger: quiet,
      metrics: new ZoneMetrics(),
      lifecycle: this.lifecycle,
      onFenced: fail,
    });
    this.holder.setWorkers({
      workers: [worker],
      asOf: readClock(),
      isReachable: true,
    });
  }

  /** Hands in a job of one task, and waits until that has been started. */
  async begin(jobId: string): Promise<{end: Promise<JobAnswer>}> {
    await nextTurn();
    const now = readClock();
    const job = toSubmission(createJob(jobId, 1, now), 'owner', false, now);
    const end = this.holder.submit(job);
    while (this.holder.countWaiting('quotes') > 0) await nextTurn();
    return {end};
  }

  /** Has the worker tell that the job's only task is done. */
  end(jobId: string): void {
    const task = `${jobId}.0.0.0`;
    const ended = [{sequence: 1, task, run: 1, end: RunEnd.Done}];
    this.tell({...idle, ended});
  }
}

/** Lets all that is ready happen, within this turn of the event loop. */
async function settle(): Promise<void> {
  for (let step = 0; step < 50; step += 1) await Promise.resolve();
}

test('a holder that closes delivers the ends that it knows of', async () => {
  const stage = new Stage();
  const {end} = await stage.begin('a');
  await nextTurn();
  stage.end('a');
  await settle();
  void stage.lifecycle.close();
  assert.deepEqual(await end, {kind: 'completed'});
});

test('a holder that closes says that begun jobs may have started', async () => {
  const stage = new Stage();
  const {end} = await stage.begin('a');
  void stage.lifecycle.close();
  const told = await end;
  assert.ok(told.kind === 'not_holder');
  const {progress, ...rest} = told;
  assert.deepEqual(rest, {kind: 'not_holder', mayHaveStarted: true});
  const keys = progress?.tasks.map(({key}) => key);
  assert.deepEqual(keys, ['a.0.0.0']);
});

test('the end of a lent task is told though its zone is no owner of the zone', async () => {
  const stage = new Stage();
  await nextTurn();
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'east', false, now);
  const lending = {homeZone: 'east', token: 3, job, step: 0, index: 0, run: 1};
  const answer = stage.holder.takeLent({...lending, isJoin: false});
  await nextTurn();
  stage.end('a');
  await settle();
  stage.holder.dropOwners(() => false);
  void stage.lifecycle.close();
  assert.deepEqual(await answer, {kind: 'completed'});
});

test('a new holder tells other zones what the one before it still runs for them', async () => {
  const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
  const stage = new Stage({...idle, running});
  await nextTurn();
  await settle();
  const lent = stage.holder.listLent('east');
  void stage.lifecycle.close();
  const tasks = [{key: 'a.0.0.0', run: 1}];
  assert.deepEqual(lent, {isComplete: false, tasks});
});

test('a holder that steps down tells what it runs of each job', async () => {
  const stage = new Stage();
  const {end} = await stage.begin('a');
  void stage.lifecycle.close();
  const told = JSON.stringify(await end);
  assert.match(told, /"key":"a\.0\.0\.0"/);
  assert.match(told, /"workerId":"w1"/);
});

test('a busy holder refuses no job of which a run goes on', async () => {
  const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
  const stage = new Stage({...idle, running});
  await sleep(60);
  const began = readClock();
  while (readClock() - began < 150);
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'owner', false, now);
  const answer = stage.holder.submit(job);
  void stage.lifecycle.close();
  assert.notEqual((await answer).kind, 'refused');
});

test('a busy holder refuses no job of which it runs a task for another zone', async () => {
  const stage = new Stage();
  await nextTurn();
  const lentAt = readClock();
  const lent = toSubmission(createJob('a', 1, lentAt), 'east', false, lentAt);
  const lending = {homeZone: 'east', token: 3, step: 0, index: 0, run: 1};
  void stage.holder.takeLent({...lending, job: lent, isJoin: false});
  await sleep(60);
  const began = readClock();
  while (readClock() - began < 150);
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'owner', false, now);
  const answer = stage.holder.submit(job);
  void stage.lifecycle.close();
  assert.notEqual((await answer).kind, 'refused');
});
