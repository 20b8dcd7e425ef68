import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Lifecycle, readClock, sleep} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import type {WorkerPort} from '../src/ports/index.js';
import {failOnCall} from './fixtures/dispatcher.js';
import {createOnlyInstance} from './fixtures/only_instance.js';

/** Longest time that an unclaimed run is kept after a change of holder, in ms. */
const MAX_UNCLAIMED_MS = 600;
/** Allowed difference between two readings of the clock, in ms. */
const CLOCK_TOLERANCE_MS = 5;

/** What a worker was sent. */
interface Received {
  /** Ends of the leases of polls. */
  readonly leases: number[];
  readonly stopped: string[];
}

/** Creates a worker with a run that no job claims. */
function createWorkerPort({leases, stopped}: Received): WorkerPort {
  const running = [{task: 'a.0.0.0', run: 1, percent: 10}];
  return {
    poll: async ({leaseUntil, waitMs}) => {
      if (leaseUntil !== undefined) leases.push(leaseUntil);
      await sleep(waitMs);
      return Ok({clockMs: readClock(), bornAt: 1, running, ended: []});
    },
    start: failOnCall,
    lastDisconnectAt: () => -Infinity,
    stop: ({task}) => {
      stopped.push(task);
      return Promise.resolve(Ok(undefined));
    },
  };
}

/** Creates a heartbeat of another holder of the zone. */
function createHeartbeat(id: string, token: number, isLeaving = false) {
  return {
    id,
    zone: 'z',
    address: '127.0.0.1:2',
    processors: 1,
    isLeaving,
    claim: {holderId: id, token},
    configurationVersion: 0,
  };
}

test('a holder that follows a short-lived one does not extend the lease of an unclaimed run once more', async () => {
  const lifecycle = new Lifecycle('test');
  const received: Received = {leases: [], stopped: []};
  const instance = createOnlyInstance(
    'z-1',
    createWorkerPort(received),
    lifecycle,
  );
  instance.start();
  await instance.heartbeat(createHeartbeat('z-2', 5));
  const claimedAt = readClock();
  await instance.heartbeat(createHeartbeat('z-3', 9));
  await sleep(350);
  const isLeaving = true;
  await instance.heartbeat(createHeartbeat('z-3', 9, isLeaving));
  await sleep(900);
  void lifecycle.close();
  const latest = claimedAt + MAX_UNCLAIMED_MS + CLOCK_TOLERANCE_MS;
  const late = received.leases.filter(leaseUntil => leaseUntil > latest);
  assert.deepEqual(late, []);
  assert.ok(received.stopped.includes('a.0.0.0'));
});
