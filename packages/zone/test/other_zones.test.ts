import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import {AbandonReason, TaskHistory, StartAnswer} from '@goldcrestpier/dispatch';
import {Lifecycle, readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import type {Holder} from '../src/holder/index.js';
import {toSubmission} from '../src/holder/job_conversion.js';
import {DelegationHandler} from '../src/instance/delegation_handler.js';
import type {Instance} from '../src/instance/instance.js';
import {OtherZones} from '../src/instance/other_zones.js';
import type {WorkerPort} from '../src/ports/index.js';
import {createJob} from './fixtures/dispatcher.js';
import {createOnlyInstance} from './fixtures/only_instance.js';

const ignore = () => undefined;

/** Creates the only instance of its zone; adds started tasks to `started`. */
function createInstance(lifecycle: Lifecycle, started: string[]): Instance {
  const workerPort: WorkerPort = {
    lastDisconnectAt: () => -Infinity,
    start: ({run}) => {
      started.push(run.key);
      return Promise.resolve({answer: StartAnswer.Started, clockMs: 5});
    },
    stop: () => Promise.resolve(Ok(undefined)),
    poll: async ({waitMs}, signal) => {
      await sleep(waitMs, undefined, {signal}).catch(ignore);
      return Ok({clockMs: 5, bornAt: 1, running: [], ended: []});
    },
  };
  return createOnlyInstance('east-1', workerPort, lifecycle);
}

/** Starts an instance and waits until it holds its zone with free workers. */
async function waitForCapacity(
  instance: Instance,
  heartbeat: ReturnType<typeof createHeartbeat>,
): Promise<void> {
  instance.start();
  for (let turn = 0; turn < 80; turn += 1) {
    const {claim, rooms} = await instance.heartbeat(heartbeat);
    const hasRoom = rooms?.some(({vacancies}) => vacancies.length > 0);
    if (claim?.holderId === 'east-1' && hasRoom === true) return;
    await sleep(50);
  }
}

/** Creates a heartbeat of the holder of another zone. */
function createHeartbeat(token: number) {
  const id = 'west-2';
  return {
    id,
    zone: 'west',
    address: '127.0.0.1:2',
    processors: 1,
    isLeaving: false,
    claim: {holderId: id, token},
    configurationVersion: 0,
  };
}

test('an instance that is not the holder reports its list of delegated tasks as incomplete', async () => {
  const lifecycle = new Lifecycle('test');
  const instance = createInstance(lifecycle, []);
  const answer = await instance.listDelegatedTasks({
    homeZone: 'west',
    token: 1,
  });
  void lifecycle.close();
  assert.equal(answer.isComplete, false);
});

test('an instance that is not the holder rejects cancellations and recalls', async () => {
  const lifecycle = new Lifecycle('test');
  const instance = createInstance(lifecycle, []);
  const message = {ownerId: 'owner', jobId: 'a'};
  const answer = [
    await instance.cancel(message),
    await instance.recall({homeZone: 'west', token: 1, task: 'a.0.0.0'}),
  ];
  void lifecycle.close();
  assert.deepEqual(answer, [false, false]);
});

test('a task from a former holder of another zone is not started', async () => {
  const lifecycle = new Lifecycle('test');
  const started: string[] = [];
  const instance = createInstance(lifecycle, started);
  await waitForCapacity(instance, createHeartbeat(9));
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'west', false, now);
  const delegation = {homeZone: 'west', job, step: 0, index: 0, run: 1};
  void instance.runDelegatedTask({...delegation, token: 9, isJoin: false});
  await sleep(50);
  assert.deepEqual(started, ['a.0.0.0']);
  const otherDelegation = {...delegation, job: {...job, id: 'b'}};
  void instance.runDelegatedTask({...otherDelegation, token: 8, isJoin: false});
  await sleep(50);
  void lifecycle.close();
  assert.deepEqual(started, ['a.0.0.0']);
});

test('a task that a new holder was told to be over is not started by a late delegation', async () => {
  const answer = {kind: 'abandoned', reason: AbandonReason.RunLost} as const;
  const received: boolean[] = [];
  const holder: Pick<Holder, 'runDelegatedTask' | 'findFreeCapacity'> = {
    runDelegatedTask: ({isJoin}) => {
      received.push(isJoin);
      return Promise.resolve(answer);
    },
    findFreeCapacity: () => [],
  };
  const handler = new DelegationHandler(
    new OtherZones('east'),
    () => holder as Holder,
    new TaskHistory(),
  );
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'west', false, now);
  const delegation = {homeZone: 'west', job, step: 0, index: 0, run: 1};
  const join = {...delegation, token: 9, isJoin: true};
  const late = {...delegation, token: 8, isJoin: false};
  const answers = [
    await handler.runDelegatedTask(join),
    await handler.runDelegatedTask(late),
  ];
  const kinds = answers.map(({answer: {kind}}) => kind);
  assert.deepEqual(kinds, ['abandoned', 'refused']);
  assert.deepEqual(received, [true]);
});

test('a task that a former holder of another zone delegated does not go on over several changes of holder', () => {
  const zones = new OtherZones('east');
  for (const [token, at] of [
    [1, 0],
    [2, 500],
    [3, 1_400],
  ] as const)
    zones.recordHeartbeat(createHeartbeat(token), at);
  const wanted = [1, 2, 3].map(token =>
    zones.isTaskWanted('west', token, 1_490),
  );
  assert.deepEqual(wanted, [true, true, true]);
  const wantedLater = [1, 2, 3].map(token =>
    zones.isTaskWanted('west', token, 1_510),
  );
  assert.deepEqual(wantedLater, [false, true, true]);
});

test('a task from a former holder of another zone is not started by a new holder that never heard of its successor', async () => {
  const lifecycle = new Lifecycle('test');
  const started: string[] = [];
  const formerHolder = createInstance(lifecycle, []);
  await formerHolder.listDelegatedTasks({homeZone: 'west', token: 9});
  const instance = createInstance(lifecycle, started);
  const told = await formerHolder.heartbeat(createHeartbeat(8));
  await instance.heartbeat({...told, id: 'east-2', address: '127.0.0.1:3'});
  await waitForCapacity(instance, createHeartbeat(8));
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'west', false, now);
  const delegation = {homeZone: 'west', job, step: 0, index: 0, run: 1};
  const late = {...delegation, token: 8, isJoin: false};
  const unanswered = sleep(50).then(() => undefined);
  const answer = instance.runDelegatedTask(late);
  const first = await Promise.race([answer, unanswered]);
  void lifecycle.close();
  assert.deepEqual(started, []);
  assert.equal(first?.answer.kind, 'refused');
});

/** Time after which an unanswered start is not told any more as a recent one. */
const NOT_RECENT_MS = 3_200;

// Guards against instances that start too late to hear of an unanswered start.
test('an instance that starts later is told of all unanswered starts, also those that are not recent', async () => {
  const lifecycle = new Lifecycle('test');
  const instance = createInstance(lifecycle, []);
  const unansweredStarts = [{task: 'a.0.0.0', remainingMs: 12_000}];
  await instance.heartbeat({...createHeartbeat(1), unansweredStarts});
  await sleep(NOT_RECENT_MS);
  const next = {id: 'west-3', claim: {holderId: 'west-3', token: 2}};
  const answer = await instance.heartbeat({...createHeartbeat(2), ...next});
  assert.deepEqual(
    answer.unansweredStarts?.map(({task}) => task),
    ['a.0.0.0'],
  );
  await lifecycle.close();
});
