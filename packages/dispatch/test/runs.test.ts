import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  AbandonReason,
  RunEnd,
  StartAnswer,
  type Dispatcher,
  type Order,
  type StartCommand,
} from '../src/index.js';
import {
  createJob,
  createLook,
  createScene,
  createWorker,
  formatOrders,
  lookAtAll,
} from './fixtures/scene.js';

function startsOf(orders: readonly Order[]): StartCommand[] {
  return orders.filter(order => order.kind === 'start');
}

function startOne(dispatcher: Dispatcher, now: number): StartCommand {
  const [start] = startsOf(dispatcher.tick(now));
  assert.ok(start !== undefined);
  return start;
}

test('no worker is given a task before it has been looked at', () => {
  const dispatcher = createScene([createWorker('w1')]);
  dispatcher.submit(createJob('a', 1), false, 0);
  assert.deepEqual(formatOrders(dispatcher.tick(0)), []);
  lookAtAll(dispatcher, 1);
  assert.deepEqual(formatOrders(dispatcher.tick(1)), ['start a.0.0.0/1 on w1']);
});

test('a new holder refuses no job while it has not seen all workers', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createScene(workers);
  dispatcher.submit(createJob('a', 1), false, 0);
  dispatcher.tick(0);
  assert.deepEqual(dispatcher.takeEnded(), []);
  assert.equal(dispatcher.jobs.size, 1);
});

test('a job for which no place comes in time is refused at once', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  const [step] = createJob('b', 2).steps;
  assert.ok(step !== undefined);
  const long = [{...step, estimateMs: 1_300}];
  dispatcher.submit(createJob('a', 2, {steps: long}), false, 0);
  assert.equal(startsOf(dispatcher.tick(0)).length, 2);
  const steps = [{...step, estimateMs: 20}];
  dispatcher.submit(createJob('b', 2, {queue: 'short', steps}), false, 1);
  dispatcher.tick(1);
  const [ended] = dispatcher.takeEnded();
  assert.equal(ended?.id, 'b');
  assert.ok(ended?.outcome.kind === 'refused');
  // 54 of 64 processors, of which 85% can be filled, are busy for 1.3 s more.
  const drainMs = (54 * 1_299) / (64 * 0.85);
  assert.ok(Math.abs(ended.outcome.retryAfterMs - drainMs) < 1);
});

test('no step of a job starts once another step made it refused', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  const [step] = createJob('a', 1).steps;
  assert.ok(step !== undefined);
  const long = [{...step, estimateMs: 1_300}];
  dispatcher.submit(createJob('a', 1, {steps: long}), false, 0);
  assert.equal(startsOf(dispatcher.tick(0)).length, 1);
  // The first step fits only when the long task is over, the second one now.
  const wide = {...step.need, cpuMillis: 60_000};
  const small = {...step.need, cpuMillis: 1_000};
  const steps = [
    {...step, need: wide, estimateMs: 20},
    {...step, need: small, estimateMs: 20},
  ];
  dispatcher.submit(createJob('b', 1, {queue: 'short', steps}), false, 1);
  assert.deepEqual(formatOrders(dispatcher.tick(1)), []);
  assert.equal(dispatcher.takeEnded()[0]?.outcome.kind, 'refused');
});

test('a run that would end too late is moved once to a sound worker', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createScene(workers);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 1, {targetMs: 500}), false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.startAnswered(run, StartAnswer.Started, 1);
  const entry = {task: run.key, run: 1, percent: 10};
  dispatcher.looked(run.workerId, createLook([entry]), 199, 200);
  assert.deepEqual(formatOrders(dispatcher.tick(200)), [
    `stop a.0.0.0/1 on ${run.workerId}`,
  ]);
  dispatcher.stopTaken(run, 201);
  const [again] = formatOrders(dispatcher.tick(290));
  assert.match(again ?? '', /^start a\.0\.0\.0\/2 on w/);
  assert.ok(!(again ?? '').endsWith(run.workerId));
});

test('a task without an answer starts again only after its stop is over', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createScene(workers);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.startAnswered(run, StartAnswer.Unanswered, 200);
  assert.deepEqual(formatOrders(dispatcher.tick(200)), [
    `stop a.0.0.0/1 on ${run.workerId}`,
  ]);
  dispatcher.stopTaken(run, 201);
  assert.deepEqual(formatOrders(dispatcher.tick(270)), []);
  const [again] = formatOrders(dispatcher.tick(290));
  assert.match(again ?? '', /^start a\.0\.0\.0\/2 on w/);
});

test('a silent worker keeps its tasks until every lease has ended', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createScene(workers);
  lookAtAll(dispatcher, 0);
  const job = createJob('a', 1, {deadlineAt: 9_000, targetMs: 5_000});
  dispatcher.submit(job, false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.noteLease(run.workerId, 0);
  dispatcher.startAnswered(run, StartAnswer.Started, 1);
  dispatcher.lookFailed(run.workerId);
  assert.deepEqual(formatOrders(dispatcher.tick(1_040)), []);
  const [again] = formatOrders(dispatcher.tick(1_060));
  assert.match(again ?? '', /^start a\.0\.0\.0\/2 on w/);
  assert.ok(!(again ?? '').endsWith(run.workerId));
});

test('a new life of a worker has lost what the old one ran', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.startAnswered(run, StartAnswer.Started, 1);
  dispatcher.looked('w1', createLook([], [], 2), 10, 11);
  assert.deepEqual(formatOrders(dispatcher.tick(11)), [
    'start a.0.0.0/2 on w1',
  ]);
});

test('a look that overtook the start does not lose the run', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const {run} = startOne(dispatcher, 5);
  dispatcher.startAnswered(run, StartAnswer.Started, 7);
  dispatcher.looked('w1', createLook(), 4, 8);
  assert.deepEqual(formatOrders(dispatcher.tick(8)), []);
  dispatcher.looked('w1', createLook(), 9, 10);
  assert.deepEqual(formatOrders(dispatcher.tick(10)), [
    'start a.0.0.0/2 on w1',
  ]);
});

test('a job that never started is refused, one that did is abandoned', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 2), false, 0);
  dispatcher.submit(createJob('b', 2, {deadlineAt: 400}), false, 0);
  for (const {run} of startsOf(dispatcher.tick(0))) {
    dispatcher.startAnswered(run, StartAnswer.Started, 1);
  }
  dispatcher.tick(400);
  const [refused] = dispatcher.takeEnded();
  assert.equal(refused?.outcome.kind, 'refused');
  assert.equal(refused?.hasStarted, false);
  dispatcher.tick(1_500);
  assert.deepEqual(dispatcher.takeEnded(), []);
  const ended = [0, 1].map(index => ({
    sequence: index + 1,
    task: `${refused?.id === 'a' ? 'b' : 'a'}.0.0.${index}`,
    run: 1,
    end: RunEnd.Stopped,
  }));
  dispatcher.looked('w1', createLook([], ended), 1_510, 1_511);
  assert.deepEqual(
    dispatcher.takeEnded().map(({outcome}) => outcome),
    [{kind: 'abandoned', reason: AbandonReason.Deadline}],
  );
});

test('a job fails when a task has failed as often as its queue allows', () => {
  const dispatcher = createScene([createWorker('w1'), createWorker('w2')]);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  for (const attempt of [1, 2]) {
    const {run} = startOne(dispatcher, attempt * 10);
    dispatcher.startAnswered(run, StartAnswer.Started, attempt * 10 + 1);
    const end = {
      sequence: attempt,
      task: run.key,
      run: attempt,
      end: RunEnd.Failed,
    };
    const at = attempt * 10 + 2;
    dispatcher.looked(run.workerId, createLook([], [end]), at, at);
  }
  const [ended] = dispatcher.takeEnded();
  assert.deepEqual(ended?.outcome, {kind: 'failed'});
});

test('a later life of a job goes on with its run numbers', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  const {run} = startOne(dispatcher, 0);
  dispatcher.startAnswered(run, StartAnswer.Started, 1);
  dispatcher.cancel('a', AbandonReason.Cancelled, 10);
  dispatcher.stopTaken(run, 11);
  dispatcher.tick(100);
  const again = createJob('a', 1, {arrivedAt: 1_400, deadlineAt: 3_000});
  dispatcher.submit(again, false, 1_400);
  assert.equal(startOne(dispatcher, 1_400).run.run, 2);
});

test('a task that is far longer than declared is moved once, not for ever', () => {
  const dispatcher = createScene([createWorker('w1'), createWorker('w2')]);
  lookAtAll(dispatcher, 0);
  const long = {targetMs: 60_000, deadlineAt: 60_000};
  dispatcher.submit(createJob('a', 1, long), false, 0);
  const places: string[] = [];
  for (let now = 0; now < 20_000; now += 100) {
    for (const order of dispatcher.tick(now)) {
      if (order.kind === 'stop' && order.run !== undefined) {
        dispatcher.stopTaken(order.run, now);
      }
      if (order.kind !== 'start') continue;
      places.push(order.run.workerId);
      dispatcher.startAnswered(order.run, StartAnswer.Started, now);
    }
    for (const [id, worker] of dispatcher.workers) {
      const running = [...worker.runs.values()].map(({key, run}) => ({
        task: key,
        run,
        percent: 1,
      }));
      dispatcher.looked(id, createLook(running), now, now);
    }
  }
  assert.equal(places.length, 2);
  assert.notEqual(places[0], places[1]);
});
