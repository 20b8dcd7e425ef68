import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {RunEnd, StartAnswer, type Look} from '@goldcrestpier/dispatch';
import {Lifecycle, readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {Holder} from '../src/holder/index.js';
import {createLocalTarget} from '../src/instance/holder_targets.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import {Owner} from '../src/owner/index.js';
import type {WorkerPort} from '../src/ports/index.js';
import {bounds, createJob, fail, quiet, worker} from './fixtures/scene.js';

const SELF = 'owner';
const idle: Look = {clockMs: 5, bornAt: 1, running: [], ended: []};

/** An owner and the holder in its process; the worker's task ends on `end`. */
function createPair(lifecycle: Lifecycle, end: Promise<Look>): Owner {
  let looks = 0;
  const port: WorkerPort = {
    start: () => Promise.resolve({answer: StartAnswer.Started, clockMs: 5}),
    stop: () => Promise.resolve(Ok(undefined)),
    look: async (_order, signal) => {
      looks += 1;
      if (looks === 1) return Ok(idle);
      const aborted = new Promise<Look>(resolve => {
        signal.addEventListener('abort', () => resolve(idle));
      });
      return Ok(await Promise.race([end, aborted]));
    },
  };
  const metrics = new ZoneMetrics();
  const holder = new Holder({
    zone: 'z',
    findZone: () => undefined,
    token: 7,
    bounds,
    port,
    logger: quiet,
    metrics,
    lifecycle,
    onFenced: fail,
  });
  const asOf = readClock();
  holder.setWorkers({workers: [worker], asOf, isReachable: true});
  return new Owner({
    selfId: SELF,
    findHolder: () => createLocalTarget(holder, SELF),
    waitForChange: () => new Promise(() => undefined),
    isAlive: () => true,
    onHolderMissed: () => undefined,
    logger: quiet,
    metrics,
  });
}

test('a caller that leaves does not take the job from one that sent it again here', async () => {
  const lifecycle = new Lifecycle('test');
  let tell: (look: Look) => void = fail;
  const end = new Promise<Look>(resolve => (tell = resolve));
  const owner = createPair(lifecycle, end);
  await nextTurn();
  const job = createJob('a', 1, readClock());
  const first = new AbortController();
  void owner.run(job, first.signal);
  const answer = owner.run(job, new AbortController().signal);
  for (let turn = 0; turn < 5; turn += 1) await nextTurn();
  first.abort();
  await nextTurn();
  const task = 'a.0.0.0';
  tell({...idle, ended: [{sequence: 1, task, run: 1, end: RunEnd.Done}]});
  const {kind} = await answer;
  void lifecycle.close();
  assert.equal(kind, 'completed');
});

test('a job that is given up ends for each caller that waits for it here', async () => {
  const lifecycle = new Lifecycle('test');
  const owner = createPair(lifecycle, new Promise(() => undefined));
  await nextTurn();
  const job = createJob('a', 1, readClock());
  const callers = [1, 2].map(() =>
    owner.run(job, new AbortController().signal),
  );
  for (let turn = 0; turn < 5; turn += 1) await nextTurn();
  assert.equal(owner.isWaitedFor('a'), true);
  assert.equal(owner.giveUpAll('a'), true);
  const answers = await Promise.all(callers);
  void lifecycle.close();
  assert.deepEqual(
    answers.map(({kind}) => kind),
    ['abandoned', 'abandoned'],
  );
  assert.equal(owner.giveUpAll('a'), false);
});
