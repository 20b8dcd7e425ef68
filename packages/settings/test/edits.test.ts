import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {KeyValueClient} from '@goldcrestpier/platform';
import {FailureCode, RunStatus, type Failure} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import fc from 'fast-check';
import {
  createEditId,
  EditKind,
  editRequestSchema,
  NodeKind,
  parseDocument,
  SettingsStore,
  SettingsTree,
  type EditRequest,
  type SettingsEdit,
} from '../src/index.js';
import {
  createClient,
  createLimitEdit,
  startService,
} from './service_fixture.js';

const AT = new Date('2024-05-06T07:08:09Z');

async function startStore() {
  const service = await startService();
  const client = createClient(service.address);
  return {service, client, store: new SettingsStore(client, silentLogger)};
}

function createRequest(
  edits: readonly SettingsEdit[],
  overrides: Partial<EditRequest> = {},
): EditRequest {
  return {editId: createEditId(), by: 'maria', edits: [...edits], ...overrides};
}

const addTags: readonly SettingsEdit[] = [
  {kind: EditKind.AddNode, node: '/pricing', nodeKind: NodeKind.Group},
  {kind: EditKind.AddNode, node: '/pricing/tags', nodeKind: NodeKind.Service},
];

type TxnMethod = KeyValueClient['txn'];

/** Creates a client whose transactions are sent by `txn`. */
function replaceTxn(client: KeyValueClient, txn: TxnMethod): KeyValueClient {
  const replaced = Object.create(client) as KeyValueClient;
  replaced.txn = txn;
  return replaced;
}

async function readTree(store: SettingsStore): Promise<SettingsTree> {
  return (await store.read()).unwrap();
}

test('nodes are added, changed and removed, and each edit increments the revision', async () => {
  const {store} = await startStore();
  assert.equal((await readTree(store)).revision, 0);
  const edits = [
    [...addTags, createLimitEdit(7, '/pricing')],
    [createLimitEdit(9, '/pricing/tags')],
    [{kind: EditKind.Unset, node: '/pricing/tags', key: 'queue.max_waiting'}],
    [{kind: EditKind.RemoveNode, node: '/pricing'}],
  ] satisfies SettingsEdit[][];
  const seen: Array<number | undefined> = [];
  for (const [index, each] of edits.entries()) {
    const answer = (await store.edit(createRequest(each), AT)).unwrap();
    assert.equal(answer.revision, index + 1);
    seen.push((await readTree(store)).forService('tags')?.queue.maxWaiting);
  }
  assert.deepEqual(seen, [7, 9, 7, undefined]);
  const history = (await store.history(3)).unwrap();
  assert.deepEqual(
    history.map(({revision, by, at}) => ({revision, by, at})),
    [4, 3, 2].map(revision => ({revision, by: 'maria', at: AT.toISOString()})),
  );
  assert.deepEqual(history[2]?.changes, [
    {node: '/pricing/tags', key: 'queue.max_waiting', after: 9},
  ]);
});

test('setting the key `kind` adds a node, and paths are normalized', async () => {
  const {store} = await startStore();
  const edit = {kind: EditKind.Set as const, key: 'kind'};
  const edits = [
    {...edit, node: 'pricing', value: 'group'},
    {...edit, node: '/pricing/tags/', value: 'service'},
    createLimitEdit(8, ''),
  ];
  (await store.edit(createRequest(edits), AT)).unwrap();
  const tree = await readTree(store);
  assert.equal(tree.forService('tags')?.queue.maxWaiting, 8);
});

test('an invalid edit is rejected as a whole and changes nothing', async () => {
  const {store} = await startStore();
  const rejectedEdits: Array<readonly [FailureCode, SettingsEdit[]]> = [
    [
      FailureCode.SettingsInvalid,
      [...addTags, createLimitEdit(-1, '/pricing')],
    ],
    [FailureCode.SettingsUnknownNode, [createLimitEdit(1, '/nowhere')]],
    [
      FailureCode.SettingsUnknownNode,
      [{kind: EditKind.RemoveNode, node: '/nowhere'}],
    ],
    [FailureCode.SettingsInvalid, [{kind: EditKind.RemoveNode, node: '/'}]],
    [
      FailureCode.SettingsInvalid,
      [{kind: EditKind.Set, node: '/', key: 'queue.size', value: 1}],
    ],
    [
      FailureCode.SettingsInvalid,
      [{kind: EditKind.AddNode, node: '/', nodeKind: NodeKind.Workers}],
    ],
    [
      FailureCode.SettingsInvalid,
      [{kind: EditKind.Set, node: '/a', key: 'kind', value: 'thing'}],
    ],
  ];
  for (const [code, edits] of rejectedEdits) {
    const failure = (await store.edit(createRequest(edits), AT)).unwrapErr();
    assert.equal(failure.code, code);
    assert.equal(failure.ran, RunStatus.NotRun);
  }
  assert.equal((await readTree(store)).revision, 0);
});

test('one of several concurrent edits succeeds, the others get a conflict with its changes', async () => {
  const {client, store} = await startStore();
  const racingValues = [1, 2, 3, 4];
  let readersReady = 0;
  let release = () => {};
  const allHaveRead = new Promise<void>(resolve => (release = resolve));
  const racing = replaceTxn(client, async transaction => {
    if (transaction.compare.length > 0) {
      readersReady += 1;
      if (readersReady === racingValues.length) release();
      await allHaveRead;
    }
    return client.txn(transaction);
  });
  const racingStore = new SettingsStore(racing, silentLogger);
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
  const failing = replaceTxn(client, async transaction => {
    const isFirstWrite = isFirst && transaction.compare.length > 0;
    if (!isFirstWrite) return client.txn(transaction);
    isFirst = false;
    service.setFaults({loseAnswers: 1});
    const answer = await client.txn(transaction);
    service.setFaults({down: true});
    return answer;
  });
  const store = new SettingsStore(failing, silentLogger);
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

test('a document with hundreds of nodes is applied in one revision', async () => {
  const {store, service} = await startStore();
  const services = Array.from(
    {length: 400},
    (_, index) => `["/s${index}"]\nkind = "service"\n`,
  );
  const {nodes} = parseDocument(services.join('')).unwrap();
  const apply = {kind: EditKind.Apply, nodes: Object.fromEntries(nodes)};
  const request = createRequest([apply as SettingsEdit]);
  const answer = (await store.edit(request, AT)).unwrap();
  assert.equal(answer.changes.length, 400);
  assert.equal((await readTree(store)).listServices().length, 400);
  const [record] = (await store.history(1)).unwrap();
  assert.equal(record?.changes.length, 50);
  assert.equal(record.omitted, 350);
  assert.equal(service.readCounts().txn, 2);
});

test('an edit without changes creates no revision', async () => {
  const {store} = await startStore();
  const unset = {kind: EditKind.Unset, node: '/', key: 'queue.max_waiting'};
  const request = createRequest([unset as SettingsEdit]);
  assert.equal((await store.edit(request, AT)).unwrap().revision, 0);
});

test('unreadable stored nodes reject an edit, but not the replacement of the whole tree', async () => {
  const {store, client} = await startStore();
  (await store.edit(createRequest([...addTags]), AT)).unwrap();
  await client.put('goldcrestpier/settings/tree/nodes/pricing/tags', 'torn');
  const failure = (
    await store.edit(createRequest([createLimitEdit(1)]), AT)
  ).unwrapErr();
  assert.equal(failure.code, FailureCode.SettingsInvalid);
  const {nodes} = parseDocument('["/queue"]\nkind = "service"').unwrap();
  const apply = {kind: EditKind.Apply, nodes: Object.fromEntries(nodes)};
  const request = createRequest([apply as SettingsEdit]);
  (await store.edit(request, AT)).unwrap();
  assert.deepEqual((await readTree(store)).listServices(), ['queue']);
});

test('any request is either parsed or rejected, and never changes a prototype', () => {
  const edit = fc.record({
    kind: fc.constantFrom(...Object.values(EditKind), 'other'),
    node: fc.constantFrom('/', '/a', '', '__proto__'),
    key: fc.constantFrom('queue.max_waiting', '__proto__.x', '', '..'),
    value: fc.jsonValue(),
  });
  const request = fc.record({
    editId: fc.string(),
    by: fc.string(),
    edits: fc.oneof(fc.array(edit), fc.jsonValue()),
  });
  fc.assert(
    fc.property(fc.oneof(fc.jsonValue(), request), any => {
      editRequestSchema.safeParse(any);
      assert.equal(({} as Record<string, unknown>)['x'], undefined);
    }),
    {seed: 9},
  );
});
