import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode, RunStatus} from '@goldcrestpier/protocol';
import fc from 'fast-check';
import {
  EditKind,
  editRequestSchema,
  NodeKind,
  parseDocument,
  type SettingsEdit,
} from '../src/index.js';
import {createLimitEdit} from './service_fixture.js';
import {AT, createRequest, readTree, startStore} from './store_fixture.js';

const addTags: readonly SettingsEdit[] = [
  {kind: EditKind.AddNode, node: '/pricing', nodeKind: NodeKind.Group},
  {kind: EditKind.AddNode, node: '/pricing/tags', nodeKind: NodeKind.Service},
];

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
