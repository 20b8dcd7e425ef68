import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode, RunStatus, type Failure} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import {SettingsStore} from '../src/index.js';
import {createLimitEdit} from './service_fixture.js';
import {
  AT,
  createRequest,
  createStoreWithTxn,
  readTree,
  startStore,
} from './store_fixture.js';

test('one of several concurrent edits succeeds, the others get a conflict with its changes', async () => {
  const {client, store} = await startStore();
  const racingValues = [1, 2, 3, 4];
  let readersReady = 0;
  let release = () => {};
  const allHaveRead = new Promise<void>(resolve => (release = resolve));
  const racingStore = createStoreWithTxn(client, async transaction => {
    if (transaction.compare.length > 0) {
      readersReady += 1;
      if (readersReady === racingValues.length) release();
      await allHaveRead;
    }
    return client.txn(transaction);
  });
  const results = await Promise.all(
    racingValues.map(value =>
      racingStore.edit(createRequest([createLimitEdit(value)]), AT),
    ),
  );
  assert.equal(results.filter(result => result.isOk()).length, 1);
  const tree = await readTree(store);
  assert.equal(tree.revision, 1);
  const after = tree.forRoot().queue.maxWaiting;
  for (const result of results) {
    if (result.isOk()) continue;
    assert.equal(result.error.code, FailureCode.SettingsConflict);
    const changes = result.error.newer?.flatMap(newer => newer.changes);
    assert.deepEqual(changes, [{node: '/', key: 'queue.max_waiting', after}]);
  }
});

test('an edit based on an older revision fails with a conflict that lists all newer edits', async () => {
  const {store} = await startStore();
  for (const value of [1, 2, 3]) {
    (await store.edit(createRequest([createLimitEdit(value)]), AT)).unwrap();
  }
  const late = createRequest([createLimitEdit(9)], {expectedRevision: 1});
  const failure = (await store.edit(late, AT)).unwrapErr();
  assert.equal(failure.code, FailureCode.SettingsConflict);
  assert.deepEqual(
    failure.newer?.map(({revision}) => revision),
    [3, 2],
  );
  assert.equal((await readTree(store)).forRoot().queue.maxWaiting, 3);
});

test('an edit whose response is lost is reported as accepted and applied once', async () => {
  const {service, store} = await startStore();
  service.setFaults({loseAnswers: 1});
  for (const value of [1, 2, 3, 4, 5]) {
    const request = createRequest([createLimitEdit(value)]);
    const answer = (await store.edit(request, AT)).unwrap();
    assert.equal(answer.revision, value);
  }
  service.setFaults({});
  assert.equal((await store.history(100)).unwrap().length, 5);
});

test('an edit resent with the same id returns the same result and is not applied twice', async () => {
  const {store} = await startStore();
  const request = createRequest([createLimitEdit(5)], {
    expectedRevision: 0,
  });
  const first = (await store.edit(request, AT)).unwrap();
  (await store.edit(createRequest([createLimitEdit(6)]), AT)).unwrap();
  const again = (await store.edit(request, AT)).unwrap();
  assert.deepEqual(again, {...first, repeated: true});
  assert.equal((await readTree(store)).forRoot().queue.maxWaiting, 6);
});

test('an outage before the write is reported as not run', async () => {
  const {service, store} = await startStore();
  service.setFaults({down: true});
  const request = createRequest([createLimitEdit(5)]);
  const failure = (await store.edit(request, AT)).unwrapErr();
  assert.equal(failure.code, FailureCode.PlatformUnavailable);
  assert.equal(failure.ran, RunStatus.NotRun);
  assert.ok((await store.history(1)).isErr());
  service.setFaults({});
  assert.equal((await readTree(store)).revision, 0);
});

test('an outage during the write asks for a resend, which reports that the edit was accepted', async () => {
  const {service, client} = await startStore();
  // The service goes down during the first write: the write takes effect, but
  // its response is lost and later reads fail.
  let isFirst = true;
  const store = createStoreWithTxn(client, async transaction => {
    const isFirstWrite = isFirst && transaction.compare.length > 0;
    if (!isFirstWrite) return client.txn(transaction);
    isFirst = false;
    service.setFaults({loseAnswers: 1});
    const answer = await client.txn(transaction);
    service.setFaults({down: true});
    return answer;
  });
  const request = createRequest([createLimitEdit(5)]);
  const failure: Failure = (await store.edit(request, AT)).unwrapErr();
  assert.equal(failure.code, FailureCode.PlatformUnavailable);
  assert.equal(failure.ran, RunStatus.MayHaveRun);
  assert.ok(failure.message.includes(request.editId));
  service.setFaults({});
  const plain = new SettingsStore(client, silentLogger);
  const answer = (await plain.edit(request, AT)).unwrap();
  assert.equal(answer.repeated, true);
  assert.equal((await plain.history(10)).unwrap().length, 1);
});
