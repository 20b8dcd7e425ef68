import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FairShares, ReturnSchedule, SizeClass} from '../src/admission/index.js';
import type {Job} from '../src/index.js';
import {createJob} from './fixtures/dispatcher_setup.js';

/** Jobs of 1 to 10 tasks, so that the tenth is the largest. */
function createJobs(fairShares: FairShares, queue = 'quotes'): readonly Job[] {
  const ids = Array.from({length: 100}, (_, index) => index);
  return ids.map(index => {
    const job = createJob(`${queue}-${index}`, 1 + (index % 10), {queue});
    const steps = job.steps.map(step => ({...step, tasks: 1 + (index % 10)}));
    const sized = {...job, steps};
    fairShares.add(sized);
    return sized;
  });
}

// Guards against size classes with other shares than their names say.
test('the largest tenth and the fifth below it are told apart', () => {
  const fairShares = new FairShares();
  const classes = createJobs(fairShares)
    .slice(90)
    .map(job => fairShares.classOf(job));
  const {Usual, Large, Largest} = SizeClass;
  const usual = Array.from({length: 7}, () => Usual);
  assert.deepEqual(classes, [...usual, Large, Large, Largest]);
});

// Guards against large jobs that are refused far more often than others.
test('a size that is refused more often than its queue is asked for less', () => {
  const fairShares = new FairShares();
  const jobs = createJobs(fairShares);
  for (const job of jobs) {
    const isLargest = fairShares.classOf(job) === SizeClass.Largest;
    fairShares.record(job, !isLargest, 0);
  }
  const [average, largest] = [jobs.at(94), jobs.at(99)];
  assert.ok(average !== undefined && largest !== undefined);
  assert.ok(fairShares.getFairness(largest, 0) < 0.5);
  assert.ok(fairShares.getFairness(average, 0) > 0.9);
  // The counts decay, so that nobody stays ahead after the overload.
  assert.ok(fairShares.getFairness(largest, 60_000) > 0.9);
});

// Guards against a queue that starves beside others.
test('a queue that is refused more often than others is asked for less', () => {
  const fairShares = new FairShares();
  for (const job of createJobs(fairShares, 'runs'))
    fairShares.record(job, false, 0);
  for (const job of createJobs(fairShares, 'quotes'))
    fairShares.record(job, true, 0);
  const ofRuns = createJob('r', 5, {queue: 'runs'});
  const ofQuotes = createJob('q', 5, {queue: 'quotes'});
  assert.ok(fairShares.getFairness(ofRuns, 0) < 0.5);
  assert.equal(fairShares.getFairness(ofQuotes, 0), 1);
});

// A holder is lost with its counts.
test('a new holder has no queue and no size ahead', () => {
  const fairShares = new FairShares();
  const job = createJob('a', 8);
  fairShares.add(job);
  assert.equal(fairShares.getFairness(job, 0), 1);
  assert.equal(fairShares.classOf(job), SizeClass.Usual);
});

const demand = {
  service: 'pricing',
  work: 64_000 * 85,
  waitMs: 0,
  capacity: 64_000,
};

// Guards against refused callers that all return at the same time.
test('returns are spread over the time in which capacity becomes free', () => {
  const returns = new ReturnSchedule();
  const promise = (now: number) => Math.round(returns.promise(demand, now));
  // Each takes 100 ms of all workers, of which 0.15 are for returns.
  assert.deepEqual([promise(0), promise(0), promise(0)], [1_000, 1_667, 2_333]);
  // What was promised drains as time passes.
  assert.equal(promise(2_500), 1_000);
  assert.equal(
    Math.round(returns.promise({...demand, service: 'x'}, 0)),
    1_000,
  );
});

// Guards against retry delays that grow with each refusal.
test('no caller is told to return later than 20 s', () => {
  const returns = new ReturnSchedule();
  const delays = Array.from({length: 100}, () => returns.promise(demand, 0));
  assert.equal(Math.max(...delays), 20_000);
  assert.equal(returns.promise({...demand, capacity: 0}, 0), 20_000);
});
