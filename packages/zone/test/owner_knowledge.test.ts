import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {TaskHistory} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {ZoneMetrics} from '../src/metrics/index.js';
import {Owner, type HolderClient} from '../src/owner/index.js';
import {createJob, noopLogger} from './fixtures/dispatcher.js';

/** Polling interval of an owner that waits for a holder, with some margin. */
const HOLDER_RETRY_MS = 60;

// Guards against a second run of a task beside that of a holder that was lost.
test('a caller that comes back to its instance while its zone has no holder submits that its job may run', async () => {
  let holder: HolderClient | undefined;
  let loseHolder: () => void = () => undefined;
  const lost = new Promise<void>(resolve => {
    loseHolder = resolve;
  });
  const resumed: boolean[] = [];
  const createHolder = (id: string): HolderClient => ({
    id,
    submit: ({isResumed}) => {
      resumed.push(isResumed);
      const isFirst = id === 'first';
      return isFirst
        ? new Promise(() => undefined)
        : Promise.resolve(Ok({kind: 'completed'}));
    },
    cancel: () => Promise.resolve(true),
  });
  const owner = new Owner({
    selfId: 'owner',
    history: new TaskHistory(),
    findHolder: () => holder,
    waitForHolderChange: id =>
      id === 'first' ? lost : new Promise(() => undefined),
    isAlive: () => false,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
  });
  const job = createJob('a', 1, readClock());
  const caller = new AbortController();
  holder = createHolder('first');
  void owner.run(job, caller.signal);
  await nextTurn();
  holder = undefined;
  loseHolder();
  await nextTurn();
  caller.abort();
  const answer = owner.run(job, new AbortController().signal);
  await new Promise(resolve => setTimeout(resolve, HOLDER_RETRY_MS));
  holder = createHolder('second');
  assert.equal((await answer).kind, 'completed');
  assert.deepEqual(resumed, [false, true]);
});
