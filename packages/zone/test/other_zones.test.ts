import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import {StartAnswer} from '@goldcrestpier/dispatch';
import {Lifecycle, Logs, LogLevel, readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {toSubmission} from '../src/holder/to_job.js';
import {Instance} from '../src/instance/instance.js';
import {createOpenLink} from '../src/instance/start_instance.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {WorkerPort} from '../src/ports/index.js';
import {bounds, createDirectory, createJob} from './fixtures/scene.js';

const ignore = () => undefined;

/** The only instance of its zone; tells of each order to start. */
function createInstance(lifecycle: Lifecycle, started: string[]): Instance {
  const port: WorkerPort = {
    start: ({run}) => {
      started.push(run.key);
      return Promise.resolve({answer: StartAnswer.Started, clockMs: 5});
    },
    stop: () => Promise.resolve(Ok(undefined)),
    look: async ({waitMs}, signal) => {
      await sleep(waitMs, undefined, {signal}).catch(ignore);
      return Ok({clockMs: 5, bornAt: 1, running: [], ended: []});
    },
  };
  const id = 'east-1';
  const logs = new Logs('test', LogLevel.Silent);
  return new Instance({
    id,
    zone: 'z',
    processors: 1,
    listen: {host: '127.0.0.1', port: 1},
    nonce: 1,
    bounds,
    directory: createDirectory(),
    port,
    otherZones: [],
    seeds: [],
    logs,
    openLink: createOpenLink({id, logs}),
    metrics: new ZoneMetrics(),
    lifecycle,
  });
}

/** A heartbeat of the holder of another zone. */
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

test('an instance that holds no workers does not say that nothing runs there', async () => {
  const lifecycle = new Lifecycle('test');
  const instance = createInstance(lifecycle, []);
  const said = await instance.listLent({homeZone: 'west', token: 1});
  void lifecycle.close();
  assert.equal(said.isComplete, false);
});

test('an instance that holds no workers takes no word that ends a run', async () => {
  const lifecycle = new Lifecycle('test');
  const instance = createInstance(lifecycle, []);
  const message = {ownerId: 'owner', jobId: 'a'};
  const said = [
    await instance.cancel(message),
    await instance.recall({homeZone: 'west', token: 1, task: 'a.0.0.0'}),
  ];
  void lifecycle.close();
  assert.deepEqual(said, [false, false]);
});

test('a holder that another has followed lends nothing any more', async () => {
  const lifecycle = new Lifecycle('test');
  const started: string[] = [];
  const instance = createInstance(lifecycle, started);
  instance.start();
  for (let turn = 0; turn < 40; turn += 1) {
    const {claim, rooms} = await instance.heartbeat(createHeartbeat(9));
    const hasRoom = rooms?.some(({vacancies}) => vacancies.length > 0);
    if (claim?.holderId === 'east-1' && hasRoom === true) break;
    await sleep(50);
  }
  const now = readClock();
  const job = toSubmission(createJob('a', 1, now), 'west', false, now);
  const lending = {homeZone: 'west', job, step: 0, index: 0, run: 1};
  void instance.lend({...lending, token: 9, isJoin: false});
  await sleep(50);
  assert.deepEqual(started, ['a.0.0.0']);
  const other = {...lending, job: {...job, id: 'b'}};
  void instance.lend({...other, token: 8, isJoin: false});
  await sleep(50);
  void lifecycle.close();
  assert.deepEqual(started, ['a.0.0.0']);
});
