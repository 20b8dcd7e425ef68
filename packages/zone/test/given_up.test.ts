import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerFailureKind, UnknownReason} from '@goldcrestpier/peers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import {ZoneMetrics} from '../src/metrics/index.js';
import {Owner} from '../src/owner/index.js';
import {createJob, quiet} from './fixtures/scene.js';

const lost = {
  kind: PeerFailureKind.Unknown,
  reason: UnknownReason.Disconnected,
} as const;

test('a job that its caller leaves while the link to the holder is lost is given up there', async () => {
  const cancelled: string[] = [];
  const caller = new AbortController();
  const owner = new Owner({
    selfId: 'owner',
    findHolder: () => ({
      id: 'holder',
      submit: () => {
        // The caller leaves once this attempt has brought nothing.
        setImmediate(() => caller.abort());
        return Promise.resolve(Err(lost));
      },
      cancel: jobId => {
        cancelled.push(jobId);
        return Promise.resolve(true);
      },
    }),
    waitForChange: () => new Promise(() => undefined),
    isAlive: () => true,
    onHolderMissed: () => undefined,
    logger: quiet,
    metrics: new ZoneMetrics(),
  });
  await owner.run(createJob('a', 1, readClock()), caller.signal);
  assert.deepEqual(cancelled, ['a']);
});

test('a job that is sent here again is not taken back for a caller that left before', async () => {
  const cancelled: string[] = [];
  const first = new AbortController();
  let isReachable = false;
  const owner = new Owner({
    selfId: 'owner',
    findHolder: () =>
      isReachable
        ? {
            id: 'holder',
            submit: () => Promise.resolve(Ok({kind: 'completed'})),
            cancel: jobId => {
              cancelled.push(jobId);
              return Promise.resolve(true);
            },
          }
        : undefined,
    waitForChange: () => new Promise(() => undefined),
    isAlive: () => true,
    onHolderMissed: () => undefined,
    logger: quiet,
    metrics: new ZoneMetrics(),
  });
  const job = createJob('a', 1, readClock());
  void owner.run(job, first.signal);
  first.abort();
  const again = owner.run(job, new AbortController().signal);
  await sleep(60);
  isReachable = true;
  assert.deepEqual(await again, {kind: 'completed'});
  assert.deepEqual(cancelled, []);
});
