import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Dispatcher, RunEnd, StartAnswer} from '../src/index.js';
import {
  bounds,
  createJob,
  createLook,
  createRunning,
  createScene,
  createWorker,
  formatOrders,
  lookAtAll,
  patient,
} from './fixtures/scene.js';

test('a new holder adopts what runs of a job that its owner still wants', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  dispatcher.looked('w1', createLook([createRunning(0)]), 1, 2);
  dispatcher.submit(createJob('a', 2, patient), true, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(5)), []);
  assert.deepEqual(
    [...(dispatcher.workers.get('w1')?.runs.keys() ?? [])],
    ['a.0.0.0'],
  );
  assert.deepEqual(formatOrders(dispatcher.tick(1_640)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(1_660)), [
    'start a.0.0.1/1 on w1',
  ]);
});

test('a job that its client sends again adopts what still runs of it', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  dispatcher.looked('w1', createLook([createRunning(0)]), 1, 2);
  dispatcher.submit(createJob('a', 1), false, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(5)), []);
  assert.equal(dispatcher.workers.get('w1')?.runs.get('a.0.0.0')?.run, 3);
});

test('a run whose owner never comes is stopped', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  dispatcher.looked('w1', createLook([createRunning(0)]), 1, 2);
  assert.deepEqual(formatOrders(dispatcher.tick(400)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(510)), [
    'stop a.0.0.0/3 on w1',
  ]);
});

test('a resumed job waits while a worker may still run a task of it', () => {
  const workers = [createWorker('w1'), createWorker('w2')];
  const dispatcher = createScene(workers, 0);
  dispatcher.looked('w1', createLook(), 1, 2);
  dispatcher.lookFailed('w2');
  dispatcher.submit(createJob('a', 1, patient), true, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(1_640)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(1_660)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a resumed job waits until other zones told what they run for it', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  dispatcher.expectLent(['east']);
  lookAtAll(dispatcher, 2);
  dispatcher.submit(createJob('a', 2, patient), true, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(1_700)), []);
  const tasks = [{key: 'a.0.0.1', run: 4}];
  dispatcher.noteLent('east', {isComplete: true, tasks}, 1_708);
  assert.deepEqual(formatOrders(dispatcher.tick(1_708)), [
    'lend a.0.0.1/4 to east',
    'start a.0.0.0/1 on w1',
  ]);
});

test('a task is lent when another zone has room and this one has none', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  const vacancy = {slowness: 1, cpuMillis: 64_000, memoryMb: 1_000};
  const room = {zone: 'east', service: 'pricing', vacancies: [vacancy]};
  dispatcher.tellRoom(room, 0);
  dispatcher.submit(createJob('a', 4), false, 0);
  const orders = dispatcher.tick(0);
  assert.deepEqual(formatOrders(orders), [
    'start a.0.0.0/1 on w1',
    'start a.0.0.1/1 on w1',
    'lend a.0.0.2/1 to east',
    'lend a.0.0.3/1 to east',
  ]);
  const [, , lent] = orders;
  assert.ok(lent?.kind === 'lend');
  dispatcher.lentEnded(lent.run, 'refused', 3);
  assert.deepEqual(formatOrders(dispatcher.tick(3)), []);
});

test('a lent task whose holder is lost starts again when it is surely over', () => {
  const dispatcher = createScene([createWorker('w1')]);
  lookAtAll(dispatcher, 0);
  const vacancy = {slowness: 0.2, cpuMillis: 64_000, memoryMb: 1_000};
  const room = {zone: 'east', service: 'pricing', vacancies: [vacancy]};
  const long = {targetMs: 20_000, deadlineAt: 20_000};
  dispatcher.submit(createJob('b', 2, long), false, 0);
  for (const order of dispatcher.tick(0)) {
    if (order.kind !== 'start') continue;
    dispatcher.startAnswered(order.run, StartAnswer.Started, 1);
  }
  dispatcher.tellRoom(room, 0);
  dispatcher.submit(createJob('a', 1, {deadlineAt: 20_000}), false, 0);
  const [lent] = dispatcher.tick(0);
  assert.ok(lent?.kind === 'lend');
  dispatcher.lentLost(lent.run, 100);
  const done = [0, 1].map(index => ({
    sequence: index + 1,
    task: `b.0.0.${index}`,
    run: 1,
    end: RunEnd.Done,
  }));
  dispatcher.looked('w1', createLook([], done), 200, 200);
  assert.deepEqual(formatOrders(dispatcher.tick(2_050)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(2_110)), [
    'start a.0.0.0/2 on w1',
  ]);
});

test('a new holder takes over a task that was lent to the one before', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  dispatcher.looked('w1', createLook([createRunning(0)]), 1, 2);
  const lent = {name: {jobId: 'a', step: 0, index: 0}, run: 3};
  const job = createJob('a.0.0.0@east', 1, {lent, lentBy: 'east'});
  dispatcher.rejoinLent(job, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(600)), []);
  const end = {sequence: 1, task: 'a.0.0.0', run: 3, end: RunEnd.Done};
  dispatcher.looked('w1', createLook([], [end]), 700, 701);
  const [ended] = dispatcher.takeEnded();
  assert.deepEqual(ended?.outcome, {kind: 'completed'});
});

test('a lent task that is not there is told to be lost', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 1);
  const lent = {name: {jobId: 'a', step: 0, index: 0}, run: 3};
  const job = createJob('a.0.0.0@east', 1, {
    ...patient,
    lent,
    lentBy: 'east',
  });
  dispatcher.rejoinLent(job, 5);
  dispatcher.tick(1_660);
  const [ended] = dispatcher.takeEnded();
  assert.equal(ended?.outcome.kind, 'abandoned');
});

test('a zone that does not answer holds resumed jobs back for 2 s', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  dispatcher.expectLent(['east']);
  lookAtAll(dispatcher, 2);
  dispatcher.submit(createJob('a', 1, patient), true, 5);
  dispatcher.submit(createJob('b', 1, patient), false, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(5)), ['start b.0.0.0/1 on w1']);
  assert.deepEqual(formatOrders(dispatcher.tick(1_900)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(2_010)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('a new holder places and refuses nothing before it has a present list', () => {
  const ignore = () => undefined;
  const observer = {runEnded: ignore, workerStruck: ignore, jobRefused: ignore};
  const dispatcher = new Dispatcher({leaseMs: 1_000, stopMs: 50}, 0, observer);
  dispatcher.submit(createJob('a', 1), false, 1);
  dispatcher.setWorkers([createWorker('w1')], 2);
  lookAtAll(dispatcher, 3);
  assert.deepEqual(formatOrders(dispatcher.tick(4)), []);
  dispatcher.confirmWorkers();
  assert.deepEqual(formatOrders(dispatcher.tick(5)), ['start a.0.0.0/1 on w1']);
});

test('a resumed job is not lent while no worker of the zone is known', () => {
  const dispatcher = createScene([], 0);
  const vacancies = [{slowness: 1, cpuMillis: 64_000, memoryMb: 1_000}];
  dispatcher.tellRoom({zone: 'east', service: 'pricing', vacancies}, 10);
  dispatcher.submit(createJob('a', 1, patient), true, 10);
  assert.deepEqual(formatOrders(dispatcher.tick(20)), []);
});

test('a list without some workers is no proof that nothing of a resumed job runs', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 2);
  dispatcher.submit(createJob('a', 1, patient), true, 5);
  assert.deepEqual(formatOrders(dispatcher.tick(1_000)), []);
  dispatcher.setWorkers([createWorker('w1'), createWorker('w2')], 1_001);
  dispatcher.looked('w2', createLook([createRunning(0)]), 1_002, 1_003);
  assert.deepEqual(formatOrders(dispatcher.tick(3_000)), []);
  assert.equal(dispatcher.workers.get('w2')?.runs.get('a.0.0.0')?.run, 3);
});

test('a lent task may run on until the leases of the holder before are over', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  lookAtAll(dispatcher, 1);
  const lent = {name: {jobId: 'a', step: 0, index: 0}, run: 3};
  const job = createJob('a.0.0.0@east', 1, {...patient, lent, lentBy: 'east'});
  dispatcher.rejoinLent(job, 5);
  dispatcher.tick(1_000);
  assert.deepEqual(dispatcher.takeEnded(), []);
  dispatcher.tick(2_000);
  const [ended] = dispatcher.takeEnded();
  assert.equal(ended?.outcome.kind, 'abandoned');
});

test('a zone whose holder is new may tell of a lent task later', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  dispatcher.expectLent(['east']);
  lookAtAll(dispatcher, 2);
  dispatcher.submit(createJob('a', 1, patient), true, 5);
  dispatcher.noteLent('east', {isComplete: false, tasks: []}, 8);
  assert.deepEqual(formatOrders(dispatcher.tick(1_700)), []);
  const tasks = [{key: 'a.0.0.0', run: 4}];
  dispatcher.noteLent('east', {isComplete: true, tasks}, 1_705);
  assert.deepEqual(formatOrders(dispatcher.tick(1_705)), [
    'lend a.0.0.0/4 to east',
  ]);
});

test('a holder that was cut off waits from the first worker that follows it', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  const longer = {targetMs: 10_000, deadlineAt: 20_000};
  dispatcher.submit(createJob('a', 1, longer), true, 4_000);
  dispatcher.looked('w1', createLook(), 5_000, 5_001);
  assert.deepEqual(formatOrders(dispatcher.tick(6_640)), []);
  assert.deepEqual(formatOrders(dispatcher.tick(6_660)), [
    'start a.0.0.0/1 on w1',
  ]);
});

test('what nobody has claimed is leased no longer than jobs may claim it', () => {
  const dispatcher = createScene([createWorker('w1')], 0);
  dispatcher.looked('w1', createLook([createRunning(0)]), 1, 2);
  assert.equal(dispatcher.chooseLease('w1', 100), 500);
  assert.equal(dispatcher.chooseLease('w1', 600), undefined);
  dispatcher.submit(createJob('a', 1), true, 110);
  assert.equal(dispatcher.chooseLease('w1', 120), bounds.leaseMs);
});
