import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode, RunStatus} from '@goldcrestpier/protocol';
import {readClock, silentLogger, sleep} from '@goldcrestpier/runtime';
import fc from 'fast-check';
import {ClaimOutcomeKind, ClaimStore, type ClaimOutcome} from '../src/index.js';
import {createClient, lifecycle, startService} from './service_fixture.js';

function createStore(address: string, owner = lifecycle): ClaimStore {
  return new ClaimStore({
    client: createClient([address], {owner}),
    retentionMs: 60_000,
    readFleetSize: () => 1,
    logger: silentLogger,
    lifecycle: owner,
  });
}

function claim(store: ClaimStore, key: string, session: string) {
  return store.claim(key, {session, key: 'job'}, readClock());
}

/** Retries the claim until its outcome is known, as a client would. */
async function claimUntilAnswered(
  store: ClaimStore,
  key: string,
  session: string,
): Promise<ClaimOutcome> {
  for (;;) {
    const answer = await claim(store, key, session);
    if (answer.isOk()) return answer.value;
    assert.equal(answer.error.code, FailureCode.PlatformUnavailable);
    assert.equal(answer.error.ran, RunStatus.NotRun);
    await sleep(20);
  }
}

test('grants the first claim of a key and returns it to later claims', async () => {
  const {address} = await startService();
  const first = createStore(address);
  const second = createStore(address);
  const granted = (await claim(first, 'key', 's1')).unwrap();
  assert.equal(granted.kind, ClaimOutcomeKind.Granted);
  for (const store of [first, second]) {
    const found = (await claim(store, 'key', 's2')).unwrap();
    assert.deepEqual(found, {
      kind: ClaimOutcomeKind.AlreadyClaimed,
      claim: granted.claim,
    });
  }
});

test('batches hundreds of claims of two instances and grants each key once', async () => {
  const service = await startService();
  const stores = [createStore(service.address), createStore(service.address)];
  const keys = Array.from({length: 150}, (_, index) => `key-${index}`);
  const answers = await Promise.all(
    keys.flatMap(key =>
      stores.flatMap((store, index) => [
        claim(store, key, `s${index}-a`),
        claim(store, key, `s${index}-b`),
      ]),
    ),
  );
  const granted = answers
    .map(answer => answer.unwrap())
    .filter(({kind}) => kind === ClaimOutcomeKind.Granted);
  assert.equal(granted.length, keys.length);
  assert.ok(service.readCounts().txn < answers.length / 10);
});

test('recognizes its own claim after the response was lost', async () => {
  const service = await startService();
  const store = createStore(service.address);
  // Every second write loses its response. The first write grants the lease.
  service.setFaults({loseAnswers: 2});
  for (const key of ['a', 'b', 'c']) {
    const {kind} = await claimUntilAnswered(store, key, 's1');
    assert.equal(kind, ClaimOutcomeKind.Granted);
  }
  service.setFaults({});
  const other = createStore(service.address);
  const found = (await claim(other, 'a', 's2')).unwrap();
  assert.equal(found.kind, ClaimOutcomeKind.AlreadyClaimed);
});

test('refuses claims during an outage as not run, and further ones without a call', async () => {
  const service = await startService();
  const store = createStore(service.address);
  service.setFaults({down: true});
  const wanted = {session: 's1', key: 'job'};
  const now = readClock();
  const first = (await store.claim('key', wanted, now)).unwrapErr();
  const calls = service.readCounts();
  const second = (await store.claim('other', wanted, now)).unwrapErr();
  for (const failure of [first, second]) {
    assert.equal(failure.code, FailureCode.PlatformUnavailable);
    assert.equal(failure.ran, RunStatus.NotRun);
    assert.ok((failure.retryAfterMs ?? 0) > 0);
  }
  assert.deepEqual(service.readCounts(), calls);
  service.setFaults({});
  const answer = await claimUntilAnswered(store, 'key', 's1');
  assert.equal(answer.kind, ClaimOutcomeKind.Granted);
});

test('continues with a new lease when the shared one has expired', async () => {
  const service = await startService();
  const store = createStore(service.address);
  (await claim(store, 'a', 's1')).unwrap();
  service.setFaults({lapseLeases: true});
  const {kind} = (await claim(store, 'b', 's1')).unwrap();
  assert.equal(kind, ClaimOutcomeKind.Granted);
  assert.equal(service.readCounts().leaseGrant, 2);
});

test('refuses pending and later claims when the instance stops', async () => {
  const service = await startService();
  service.setFaults({slowMs: 50});
  const child = lifecycle.createChild('instance');
  const store = createStore(service.address, child);
  const keys = Array.from({length: 200}, (_, index) => `key-${index}`);
  const claims = keys.map(key => claim(store, key, 's1'));
  await child.close();
  const late = await claim(store, 'late', 's1');
  const answers = await Promise.all(claims);
  assert.ok(late.isErr());
  assert.ok(answers.some(answer => answer.isErr()));
});

test('grants no key to two claims, whichever calls fail', async () => {
  const fault = fc.constantFrom(
    {},
    {loseAnswers: 1},
    {loseAnswers: 2},
    {loseAnswers: 3},
    {down: true},
  );
  const keys = fc.array(fc.constantFrom('a', 'b', 'c'), {
    minLength: 1,
    maxLength: 12,
  });
  const step = fc.record({fault, keys});
  const steps = fc.array(step, {minLength: 1, maxLength: 4});
  await fc.assert(
    fc.asyncProperty(steps, async drawn => {
      const child = lifecycle.createChild('drawn');
      const service = await startService(child);
      const stores = [0, 1, 2].map(() => createStore(service.address, child));
      const granted: string[] = [];
      for (const {fault, keys} of drawn) {
        service.setFaults(fault);
        await Promise.all(
          keys.map(async (key, index) => {
            const store = stores[index % stores.length];
            const answer = await store?.claim(
              key,
              {session: `s${index}`, key: 'job'},
              readClock(),
            );
            if (
              answer?.isOk() &&
              answer.value.kind === ClaimOutcomeKind.Granted
            ) {
              granted.push(key);
            }
          }),
        );
      }
      assert.deepEqual(granted, [...new Set(granted)]);
      await child.close();
    }),
    {seed: 33, numRuns: 25},
  );
});
