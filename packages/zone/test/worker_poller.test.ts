import assert from 'node:assert/strict';
import {
  RunEnd,
  WorkerRequestFailure,
  type WorkerReport,
} from '@goldcrestpier/dispatch';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import {LostResponses} from '../src/holder/lost_responses.js';
import {WorkerPoller} from '../src/holder/worker_poller.js';
import type {PollRequest} from '../src/ports/index.js';
import {
  createDispatcher,
  createJob,
  failOnCall,
  noopLogger,
  worker,
} from './fixtures/dispatcher.js';
import {testInSimulatedTime as test} from './simulation/simulated_time.js';

/** Returns the first polls of a worker that runs a 200 ms task and never answers. */
async function pollSilentWorker(
  lostResponses: LostResponses,
  count: number,
  ended: WorkerReport['ended'] = [],
): Promise<PollRequest[]> {
  const now = readClock();
  const dispatcher = createDispatcher(now);
  const report = {clockMs: 5, bornAt: 1, running: [], ended};
  dispatcher.handleReport(worker.id, report, now, now);
  dispatcher.submit(createJob('a', 1, now), false, now);
  dispatcher.tick(now);
  const controller = new AbortController();
  const requests: PollRequest[] = [];
  const poll = (request: PollRequest) => {
    requests.push(request);
    if (requests.length === count) controller.abort();
    return Promise.resolve(Err(WorkerRequestFailure.Unanswered));
  };
  const poller = new WorkerPoller({
    workerId: worker.id,
    token: 7,
    dispatcher,
    workerPort: {
      poll,
      start: failOnCall,
      stop: failOnCall,
      lastDisconnectAt: failOnCall,
    },
    lostResponses,
    watch: {mayCommandsArrive: () => false},
    onChange: () => undefined,
    onFenced: failOnCall,
    onPollFailed: (id, failure) =>
      noopLogger.warn('poll failed', {id, failure}),
  });
  await poller.run(controller.signal);
  return requests;
}

// Guards against ends that the next process forgets before anybody reads them.
test('a poll acknowledges no ends of a process that may have been replaced', async () => {
  const ended = [{sequence: 57, task: 'b.0.0.0', run: 1, end: RunEnd.Done}];
  const requests = await pollSilentWorker(new LostResponses(), 2, ended);
  assert.deepEqual(
    requests.map(({lastSeen}) => lastSeen),
    [57, 0],
  );
});

test('a poll uses the long wait while no responses get lost', async () => {
  const [first] = await pollSilentWorker(new LostResponses(), 1);
  assert.equal(first?.waitMs, 400);
  assert.equal(first.marginMs, 250);
});

test('a poll waits only until the next expected end while responses get lost', async () => {
  const lostResponses = new LostResponses();
  for (const id of ['w2', 'w3']) lostResponses.recordLoss(id, readClock());
  const [first] = await pollSilentWorker(lostResponses, 1);
  assert.ok(first !== undefined && first.waitMs <= 230);
  assert.equal(first.marginMs, 80);
});

test('a worker whose response was lost is polled again without waiting for the end of a run', async () => {
  const lostResponses = new LostResponses();
  for (const id of ['w2', 'w3']) lostResponses.recordLoss(id, readClock());
  const [, second] = await pollSilentWorker(lostResponses, 2);
  assert.equal(second?.waitMs, 0);
});

test('a worker that stays silent counts as one lost response, not one per poll', async () => {
  const lostResponses = new LostResponses();
  const recordedIds: string[] = [];
  lostResponses.recordLoss = workerId => recordedIds.push(workerId);
  await pollSilentWorker(lostResponses, 3);
  assert.deepEqual(recordedIds, [worker.id]);
});

test('the threshold of lost responses grows with the number of workers', () => {
  const lostResponses = new LostResponses();
  for (const id of ['w1', 'w2', 'w3']) lostResponses.recordLoss(id, 0);
  assert.equal(lostResponses.isWidespread(10, 33), true);
  assert.equal(lostResponses.isWidespread(10, 120), false);
});

/** Counts the polls in 300 ms of a worker that lists `count` runs at once. */
async function countPolls(count: number): Promise<number> {
  const dispatcher = createDispatcher(readClock());
  const controller = new AbortController();
  let polls = 0;
  const running = Array.from({length: count}, (_, index) => ({
    task: `a.0.0.${index}`,
    run: 1,
    percent: 10,
  }));
  const poll = async () => {
    polls += 1;
    await sleep(1);
    return Ok({clockMs: 5, bornAt: 1, running, ended: []});
  };
  const poller = new WorkerPoller({
    workerId: worker.id,
    token: 7,
    dispatcher,
    workerPort: {
      poll,
      start: failOnCall,
      stop: failOnCall,
      lastDisconnectAt: failOnCall,
    },
    lostResponses: new LostResponses(),
    watch: {mayCommandsArrive: () => false},
    onChange: () => undefined,
    onFenced: failOnCall,
    onPollFailed: failOnCall,
  });
  dispatcher.handleReport(
    worker.id,
    {clockMs: 5, bornAt: 1, running, ended: []},
    0,
    1,
  );
  void poller.run(controller.signal);
  await sleep(300);
  controller.abort();
  return polls;
}

// Guards against the quadratic cost of polling for each end among many runs.
test('a worker with hundreds of runs is polled less often than one with few', async () => {
  const [few, many] = [await countPolls(2), await countPolls(400)];
  assert.ok(many <= 7, `${many} polls`);
  assert.ok(few > 2 * many, `${few} and ${many} polls`);
});
