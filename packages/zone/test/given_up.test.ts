import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerFailureKind, UnknownReason} from '@goldcrestpier/peers';
import {readClock} from '@goldcrestpier/runtime';
import {Err} from 'ts-results-es';
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
      cancel: jobId => void cancelled.push(jobId),
    }),
    waitForChange: () => new Promise(() => undefined),
    isAlive: () => true,
    logger: quiet,
    metrics: new ZoneMetrics(),
  });
  await owner.run(createJob('a', 1, readClock()), caller.signal);
  assert.deepEqual(cancelled, ['a']);
});
