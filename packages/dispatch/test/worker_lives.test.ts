import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RunEnd, StartAnswer, type Dispatcher, type Run} from '../src/index.js';
import {
  createJob,
  createLook,
  createScene,
  createWorker,
  formatOrders,
  lookAtAll,
} from './fixtures/scene.js';

const workers = [createWorker('w1'), createWorker('w2')];

/** Two workers, on one of which the only task of a job is being started. */
function beginOne(): {dispatcher: Dispatcher; run: Run} {
  const dispatcher = createScene(workers);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const [start] = dispatcher.tick(0);
  assert.ok(start?.kind === 'start');
  return {dispatcher, run: start.run};
}

/** What starts now, whatever else is ordered. */
function startsAt(dispatcher: Dispatcher, now: number): string[] {
  return formatOrders(dispatcher.tick(now)).filter(line =>
    line.startsWith('start'),
  );
}

test('the news of a new life does not lose a run that this life has started', () => {
  const {dispatcher, run} = beginOne();
  dispatcher.startAnswered(run, StartAnswer.Started, 2);
  const listed = workers.map(worker =>
    worker.id === run.workerId ? {...worker, bornAt: 2} : worker,
  );
  dispatcher.setWorkers(listed, 10);
  assert.deepEqual(startsAt(dispatcher, 10), []);
});

test('a look at a new life does not lose a run whose order is on its way there', () => {
  const {dispatcher, run} = beginOne();
  dispatcher.looked(run.workerId, createLook([], [], 2), 1, 2);
  assert.deepEqual(startsAt(dispatcher, 2), []);
});

test('an order without an answer is stopped also in the next life of its worker', () => {
  const {dispatcher, run} = beginOne();
  dispatcher.startAnswered(run, StartAnswer.Unanswered, 300);
  dispatcher.tick(300);
  dispatcher.looked(run.workerId, createLook([], [], 2), 400, 401);
  assert.deepEqual(startsAt(dispatcher, 401), []);
});

test('a late answer of the old life is no look at the new one', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  dispatcher.setWorkers([createWorker('w1', {bornAt: 2})], 5);
  dispatcher.looked('w1', createLook(), 4, 6);
  dispatcher.submit(createJob('a', 1), false, 6);
  assert.deepEqual(startsAt(dispatcher, 6), []);
});

test('a late answer of the old life tells how a run ended there', () => {
  const {dispatcher, run} = beginOne();
  dispatcher.startAnswered(run, StartAnswer.Started, 2);
  const listed = workers.map(worker => ({...worker, bornAt: 2}));
  dispatcher.setWorkers(listed, 5);
  const end = {sequence: 1, task: run.key, run: run.run, end: RunEnd.Done};
  dispatcher.looked(run.workerId, createLook([], [end]), 4, 6);
  dispatcher.tick(6);
  assert.equal(dispatcher.jobs.size, 0);
  assert.equal(dispatcher.workers.get(run.workerId)?.lastSeen, 0);
});

test('a worker whose births go back is looked at all the same', () => {
  const dispatcher = createScene([createWorker('w1', {bornAt: 2})]);
  dispatcher.looked('w1', createLook(), 4, 6);
  dispatcher.submit(createJob('a', 1), false, 6);
  assert.deepEqual(startsAt(dispatcher, 6), ['start a.0.0.0/1 on w1']);
});
