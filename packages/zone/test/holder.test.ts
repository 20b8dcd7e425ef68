import assert from 'node:assert/strict';
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import {test} from 'node:test';
import {readClock} from '@goldcrestpier/runtime';
import {toSubmission} from '../src/holder/job_conversion.js';
import type {JobAnswer, TaskDelegation} from '../src/protocol/index.js';
import {ControlledHolder, idleReport} from './fixtures/controlled_holder.js';
import {createJob} from './fixtures/dispatcher.js';
import {testInSimulatedTime} from './simulation/simulated_time.js';

/** A holder whose worker ends tasks on request, with the jobs of one owner. */
class HolderFixture extends ControlledHolder {
  /** Submits a job with one task and waits until the task is started. */
  async submitAndStart(jobId: string): Promise<{end: Promise<JobAnswer>}> {
    await nextTurn();
    const now = readClock();
    const job = toSubmission(createJob(jobId, 1, now), 'owner', false, now);
    const end = this.holder.submit(job);
    while (this.holder.countWaiting('quotes') > 0) await nextTurn();
    return {end};
  }
}

/** Creates a delegation of the only task of job `a`. */
function createDelegation(isJoin: boolean): TaskDelegation {
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'east', false, now);
  const name = {step: 0, index: 0};
  return {homeZone: 'east', token: 3, job, ...name, run: 1, isJoin};
}

/** Runs all pending promise callbacks within this turn of the event loop. */
async function flushPromises(): Promise<void> {
  for (let round = 0; round < 50; round += 1) await Promise.resolve();
}

test('a closing holder delivers the task results that it has already received', async () => {
  const fixture = new HolderFixture();
  const {end} = await fixture.submitAndStart('a');
  await nextTurn();
  fixture.endTask('a');
  await flushPromises();
  void fixture.lifecycle.close();
  assert.deepEqual(await end, {kind: 'completed'});
});

test('a closing holder reports that tasks of its jobs may have started', async () => {
  const fixture = new HolderFixture();
  const {end} = await fixture.submitAndStart('a');
  void fixture.lifecycle.close();
  const handover = await end;
  assert.ok(handover.kind === 'not_holder');
  const {progress, ...rest} = handover;
  assert.deepEqual(rest, {kind: 'not_holder', mayHaveStarted: true});
  const keys = progress?.tasks.map(({key}) => key);
  assert.deepEqual(keys, ['a.0.0.0']);
});

test('the end of a delegated task is reported although the home zone is not an owner', async () => {
  const fixture = new HolderFixture();
  await nextTurn();
  const answer = fixture.holder.runDelegatedTask(createDelegation(false));
  await nextTurn();
  fixture.endTask('a');
  await flushPromises();
  fixture.holder.cancelJobsOfLostOwners(() => false);
  void fixture.lifecycle.close();
  assert.deepEqual(await answer, {kind: 'completed'});
});

testInSimulatedTime(
  'a new holder reports the runs that its predecessor started for other zones',
  async () => {
    const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
    const fixture = new HolderFixture({firstReport: {...idleReport, running}});
    await new Promise(resolve => setImmediate(resolve));
    await flushPromises();
    const delegated = fixture.holder.listDelegatedTasks('east');
    void fixture.lifecycle.close();
    const tasks = [{key: 'a.0.0.0', run: 1}];
    const known = {isComplete: false, hasPolledWorkers: true};
    assert.deepEqual(delegated, {...known, tasks});
  },
);

test('a holder that steps down reports the runs of each job', async () => {
  const fixture = new HolderFixture();
  const {end} = await fixture.submitAndStart('a');
  void fixture.lifecycle.close();
  const handover = JSON.stringify(await end);
  assert.match(handover, /"key":"a\.0\.0\.0"/);
  assert.match(handover, /"workerId":"w1"/);
});

/** Submits job `a` after the process did not respond for 150 ms. */
async function submitWhileOverloaded({
  holder,
  lifecycle,
}: HolderFixture): Promise<JobAnswer> {
  await sleep(60);
  const blockedSince = readClock();
  while (readClock() - blockedSince < 150);
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'owner', false, now);
  const answer = holder.submit(job);
  void lifecycle.close();
  return answer;
}

test('an overloaded holder does not refuse a job that still has an active run', async () => {
  const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
  const fixture = new HolderFixture({firstReport: {...idleReport, running}});
  const {kind} = await submitWhileOverloaded(fixture);
  assert.notEqual(kind, 'refused');
});

test('an overloaded holder does not refuse a job with a task delegated to it', async () => {
  const fixture = new HolderFixture();
  await nextTurn();
  void fixture.holder.runDelegatedTask(createDelegation(false));
  const {kind} = await submitWhileOverloaded(fixture);
  assert.notEqual(kind, 'refused');
});

/** Asks for a delegated task after it has ended; `wait` is the time between. */
async function rejoinEndedTask(wait: () => Promise<void>): Promise<string[]> {
  const fixture = new HolderFixture();
  await nextTurn();
  const {holder} = fixture;
  const first = holder.runDelegatedTask(createDelegation(false));
  await nextTurn();
  fixture.endTask('a');
  await wait();
  const join = {...createDelegation(true), token: 4};
  const answers = await Promise.all([first, holder.runDelegatedTask(join)]);
  answers.push(await holder.runDelegatedTask(join));
  void fixture.lifecycle.close();
  return answers.map(({kind}) => kind);
}

test('a delegated task that ended while its zone had no holder is not lost', async () => {
  const kinds = await rejoinEndedTask(() => sleep(50));
  assert.deepEqual(kinds, ['completed', 'completed', 'completed']);
});

test('a delegated task is not lost when its end is about to be answered', async () => {
  const kinds = await rejoinEndedTask(flushPromises);
  assert.deepEqual(kinds, ['completed', 'completed', 'completed']);
});

test('a new holder polls an idle worker on which its predecessor reported a run', async () => {
  const fixture = new HolderFixture();
  await sleep(30);
  const now = readClock();
  const state = {kind: 'running', run: 1, workerId: 'w1', tookMs: 5} as const;
  const task = {key: 'a.0.0.0', lastRun: 1, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  const job = toSubmission(createJob('a', 1, now), 'owner', true, now);
  const answer = fixture.holder.submit({...job, progress});
  fixture.endTask('a');
  const result = await Promise.race([answer, sleep(300)]);
  void fixture.lifecycle.close();
  assert.equal(result?.kind, 'completed');
});
