import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AbandonReason, StartAnswer} from '../src/index.js';
import {
  bounds,
  createJob,
  createLook,
  createScene,
  createWorker,
  formatOrders,
  lookAtAll,
} from './fixtures/scene.js';

const [first, second] = [createWorker('w1'), createWorker('w2')];
const running = {task: 'a.0.0.0', run: 3, percent: 40};

test('a worker that leaves the list takes no unclaimed run with it before its lease ends', () => {
  const dispatcher = createScene([first, second], 0);
  lookAtAll(dispatcher, 1);
  dispatcher.looked('w1', createLook([running]), 2, 3);
  dispatcher.noteLease('w1', 100);
  dispatcher.setWorkers([second], 200);
  dispatcher.submit(createJob('a', 1), true, 300);
  assert.deepEqual(formatOrders(dispatcher.tick(300)), []);
});

test('a job that comes again waits until a new holder has looked at every worker', () => {
  const dispatcher = createScene([first, second], 0);
  dispatcher.looked('w1', createLook(), 1, 2);
  dispatcher.submit(createJob('a', 1), false, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(5)), []);
});

test('a job that one owner hands in as new and another as begun counts as begun', () => {
  const dispatcher = createScene([first, second], 0);
  dispatcher.looked('w1', createLook(), 1, 2);
  dispatcher.lookFailed('w2');
  dispatcher.submit(createJob('a', 1), false, 5);
  dispatcher.submit(createJob('a', 1), true, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(5)), []);
});

test('a job that comes again starts no task that runs here for another zone', () => {
  const dispatcher = createScene([first, second]);
  lookAtAll(dispatcher, 0);
  const lent = {name: {jobId: 'a', step: 0, index: 0}, run: 3};
  const task = createJob('a.0.0.0@west', 1, {lent, lentBy: 'west'});
  const [start] = dispatcher.takeLent(task, 0);
  assert.ok(start?.kind === 'start');
  dispatcher.startAnswered(start.run, StartAnswer.Started, 1);
  dispatcher.submit(createJob('a', 1), false, 2);
  assert.deepEqual(formatOrders(dispatcher.tick(2)), ['stop a.0.0.0/3 on w1']);
  dispatcher.stopTaken(start.run, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(80)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(90)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a lease by an old reading of a slow clock is over when that clock says so', () => {
  const dispatcher = createScene([first]);
  const now = 50_000;
  const clockShare = 0.98;
  lookAtAll(dispatcher, 0);
  dispatcher.noteLease('w1', now);
  const record = dispatcher.workers.get('w1');
  const leaseUntil = (record?.clockAt(now) ?? 0) + bounds.leaseMs;
  assert.ok((record?.leasesOverAt ?? 0) >= leaseUntil / clockShare);
});

test('a task that runs on two workers is stopped on both at once', () => {
  const dispatcher = createScene([first, second], 0);
  dispatcher.looked('w1', createLook([running]), 1, 2);
  dispatcher.looked('w2', createLook([running]), 1, 2);
  assert.deepEqual(formatOrders(dispatcher.tick(510)), [
    'stop a.0.0.0/3 on w1',
    'stop a.0.0.0/3 on w2',
  ]);
});

test('a silent worker that leaves the list keeps unclaimed runs until its lease ends', () => {
  const dispatcher = createScene([first, second], 0);
  lookAtAll(dispatcher, 1);
  dispatcher.looked('w1', createLook([running]), 2, 3);
  dispatcher.noteLease('w1', 100);
  dispatcher.lookFailed('w1');
  dispatcher.setWorkers([second], 200);
  dispatcher.tick(1_140);
  assert.ok(dispatcher.workers.has('w1'));
  dispatcher.tick(1_160);
  assert.ok(!dispatcher.workers.has('w1'));
});

test('a job that comes again finds its run on a worker that has left the list', () => {
  const dispatcher = createScene([first, second], 0);
  lookAtAll(dispatcher, 1);
  dispatcher.looked('w1', createLook([running]), 2, 3);
  dispatcher.setWorkers([second], 200);
  dispatcher.submit(createJob('a', 1), false, 300);
  assert.deepEqual(formatOrders(dispatcher.tick(300)), []);
});

test('the lease of an earlier holder is waited for where its run was found', () => {
  const dispatcher = createScene([first, second], 0);
  dispatcher.looked('w2', createLook(), 1, 2);
  dispatcher.looked('w1', createLook([running]), 549, 550);
  dispatcher.lookFailed('w1');
  dispatcher.submit(createJob('a', 1), false, 600);
  assert.deepEqual(formatOrders(dispatcher.tick(600)), []);
});

test('a zone that was handed a job itself runs no task of it for another zone', () => {
  const dispatcher = createScene([first]);
  lookAtAll(dispatcher, 0);
  dispatcher.submit(createJob('a', 1), false, 0);
  dispatcher.tick(0);
  const lent = {name: {jobId: 'a', step: 0, index: 0}, run: 3};
  const task = createJob('a.0.0.0@west', 1, {lent, lentBy: 'west'});
  assert.deepEqual(dispatcher.takeLent(task, 1), []);
  const [ended] = dispatcher.takeEnded();
  assert.equal(ended?.outcome.kind, 'refused');
});

test('a task that another zone runs and no job has claimed in time is taken back', () => {
  const dispatcher = createScene([first], 0);
  lookAtAll(dispatcher, 1);
  dispatcher.expectLent(['east']);
  const tasks = [{key: 'a.0.0.0', run: 4}];
  dispatcher.noteLent('east', {isComplete: true, tasks}, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(510)), [
    'recall a.0.0.0 from east',
  ]);
});

test('what may run unseen is not forgotten with the job', () => {
  const dispatcher = createScene([first], 0);
  lookAtAll(dispatcher, 1);
  dispatcher.submit(createJob('a', 1), true, 5);
  dispatcher.cancel('a', AbandonReason.Cancelled, 6);
  dispatcher.submit(createJob('a', 1), false, 7);
  assert.deepEqual(formatOrders(dispatcher.tick(8)), []);
});

test('a job that comes after its lent task was taken back waits for its end', () => {
  const dispatcher = createScene([first], 0);
  lookAtAll(dispatcher, 1);
  dispatcher.expectLent(['east']);
  const tasks = [{key: 'a.0.0.0', run: 4}];
  dispatcher.noteLent('east', {isComplete: true, tasks}, 5);
  dispatcher.tick(510);
  assert.deepEqual(formatOrders(dispatcher.tick(720)), [
    'recall a.0.0.0 from east',
  ]);
  dispatcher.submit(createJob('a', 1), false, 730);
  assert.deepEqual(formatOrders(dispatcher.tick(730)), [
    'lend a.0.0.0/4 to east',
  ]);
});

test('a worker with unclaimed runs is given no task, which would lease them, too', () => {
  const dispatcher = createScene([first, second], 0);
  lookAtAll(dispatcher, 1);
  dispatcher.looked('w1', createLook([running]), 2, 3);
  dispatcher.submit(createJob('b', 3), false, 5);
  const starts = formatOrders(dispatcher.tick(5));
  assert.deepEqual(starts, ['start b.0.0.0/1 on w2', 'start b.0.0.1/1 on w2']);
});

test('a run that was found beside another one of its task is adopted when that is lost', () => {
  const dispatcher = createScene([first, second], 0);
  lookAtAll(dispatcher, 1);
  const state = {kind: 'running', run: 2, workerId: 'w1', tookMs: 50} as const;
  const task = {key: 'a.0.0.0', lastRun: 2, failures: 0, state};
  const progress = {isComplete: true, tasks: [task]};
  dispatcher.submit(createJob('a', 1), true, 5, progress);
  dispatcher.looked('w2', createLook([running]), 6, 7);
  dispatcher.looked('w1', createLook(), 8, 9);
  assert.deepEqual(formatOrders(dispatcher.tick(10)), []);
  assert.equal(dispatcher.workers.get('w2')?.runs.get('a.0.0.0')?.run, 3);
});
