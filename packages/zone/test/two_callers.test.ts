import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {AbandonReason, TaskHistory} from '@goldcrestpier/dispatch';
import {readClock} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {createLocalHolderClient} from '../src/instance/holder_client.js';
import {Owner} from '../src/owner/index.js';
import {ControlledHolder} from './fixtures/controlled_holder.js';
import {createJob, noopLogger} from './fixtures/dispatcher.js';

const OWNER_ID = 'owner';

/** A holder and an owner of jobs in the same instance. */
class OwnerFixture extends ControlledHolder {
  readonly owner: Owner;

  constructor() {
    super({stop: () => Promise.resolve(Ok(undefined))});
    this.owner = new Owner({
      history: new TaskHistory(),
      selfId: OWNER_ID,
      findHolder: () => createLocalHolderClient(this.holder, OWNER_ID),
      waitForHolderChange: () => new Promise(() => undefined),
      isAlive: () => true,
      holderExpectedAt: () => undefined,
      onHolderUnavailable: () => undefined,
      logger: noopLogger,
      metrics: this.metrics,
    });
  }
}

test('a caller that disconnects does not cancel the job for one that sent it again', async () => {
  const fixture = new OwnerFixture();
  const {owner} = fixture;
  await nextTurn();
  const job = createJob('a', 1, readClock());
  const first = new AbortController();
  void owner.run(job, first.signal);
  const answer = owner.run(job, new AbortController().signal);
  for (let turn = 0; turn < 5; turn += 1) await nextTurn();
  first.abort();
  await nextTurn();
  fixture.endTask('a');
  const {kind} = await answer;
  void fixture.lifecycle.close();
  assert.equal(kind, 'completed');
});

test('an abandoned job ends for each caller that waits for it on this instance', async () => {
  const {lifecycle, owner} = new OwnerFixture();
  await nextTurn();
  const job = createJob('a', 1, readClock());
  const callers = [1, 2].map(() =>
    owner.run(job, new AbortController().signal),
  );
  for (let turn = 0; turn < 5; turn += 1) await nextTurn();
  assert.equal(owner.hasCallers('a'), true);
  assert.equal(owner.cancelForAllCallers('a'), true);
  const answers = await Promise.all(callers);
  void lifecycle.close();
  assert.deepEqual(
    answers.map(({kind}) => kind),
    ['abandoned', 'abandoned'],
  );
  assert.equal(owner.cancelForAllCallers('a'), false);
});

// Guards against 504, on which a caller sends its job again, after a DELETE.
test('a job that is cancelled while its zone has no holder is answered as cancelled', async () => {
  const {lifecycle, metrics} = new OwnerFixture();
  const owner = new Owner({
    history: new TaskHistory(),
    selfId: OWNER_ID,
    findHolder: () => undefined,
    waitForHolderChange: () => new Promise(() => undefined),
    isAlive: () => true,
    holderExpectedAt: () => undefined,
    onHolderUnavailable: () => undefined,
    logger: noopLogger,
    metrics,
  });
  const job = createJob('a', 1, readClock());
  const answer = owner.run(job, new AbortController().signal);
  await nextTurn();
  owner.cancelForAllCallers('a');
  assert.deepEqual(await answer, {
    kind: 'abandoned',
    reason: AbandonReason.Cancelled,
  });
  void lifecycle.close();
});
