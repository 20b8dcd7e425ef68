import assert from 'node:assert/strict';
import {TaskHistory} from '@goldcrestpier/dispatch';
import {PeerFailureKind, UnknownReason} from '@goldcrestpier/peers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import {ZoneMetrics} from '../src/metrics/index.js';
import {Owner} from '../src/owner/index.js';
import {createJob, noopLogger} from './fixtures/dispatcher.js';
import {testInSimulatedTime as test} from './simulation/simulated_time.js';

const disconnected = {
  kind: PeerFailureKind.Unknown,
  reason: UnknownReason.Disconnected,
} as const;

test('a job whose caller disconnects while the holder is unreachable is cancelled there', async () => {
  const cancelled: string[] = [];
  const caller = new AbortController();
  const owner = new Owner({
    history: new TaskHistory(),
    selfId: 'owner',
    findHolder: () => ({
      id: 'holder',
      submit: () => {
        // The caller disconnects once this attempt has failed.
        setImmediate(() => caller.abort());
        return Promise.resolve(Err(disconnected));
      },
      cancel: ({jobId}) => {
        cancelled.push(jobId);
        return Promise.resolve(true);
      },
    }),
    waitForHolderChange: () => new Promise(() => undefined),
    isAlive: () => true,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
  });
  await owner.run(createJob('a', 1, readClock()), caller.signal);
  assert.deepEqual(cancelled, ['a']);
});

test('a job that was sent again is not cancelled for the caller that disconnected first', async () => {
  const cancelled: string[] = [];
  const firstCaller = new AbortController();
  let isReachable = false;
  const owner = new Owner({
    history: new TaskHistory(),
    selfId: 'owner',
    findHolder: () =>
      isReachable
        ? {
            id: 'holder',
            submit: () => Promise.resolve(Ok({kind: 'completed'})),
            cancel: ({jobId}) => {
              cancelled.push(jobId);
              return Promise.resolve(true);
            },
          }
        : undefined,
    waitForHolderChange: () => new Promise(() => undefined),
    isAlive: () => true,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
  });
  const job = createJob('a', 1, readClock());
  void owner.run(job, firstCaller.signal);
  firstCaller.abort();
  const secondAnswer = owner.run(job, new AbortController().signal);
  await sleep(60);
  isReachable = true;
  assert.deepEqual(await secondAnswer, {kind: 'completed'});
  assert.deepEqual(cancelled, []);
});
