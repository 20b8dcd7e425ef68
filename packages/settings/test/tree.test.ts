import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode} from '@goldcrestpier/protocol';
import {openSnapshots} from '@goldcrestpier/testing';
import fc from 'fast-check';
import {
  defaultSettings,
  diffNodes,
  effectiveSettingsSchema,
  formatDocument,
  NodeKind,
  parseDocument,
  parseSettingValue,
  SettingsTree,
  traceValues,
} from '../src/index.js';
import {mergeValues, toCamelCase} from '../src/tree/keys.js';

const snapshots = openSnapshots(import.meta.url);

const DOCUMENT = `
revision = 7
["/".queue]
max_waiting = 1000
["/".fairness.weights]
night-batch = 2
["/pricing"]
kind = "group"
retry.budget_share = 0.2
["/pricing/tags"]
kind = "service"
queue.max_waiting = 50
fairness.weights = {day-shift = 3}
["/invoicing"]
kind = "service"
["/racks"]
kind = "workers"
workers = {lease_ms = 5000, renew_ms = 1000}
`;

function createTree(text: string): SettingsTree {
  const {nodes, revision} = parseDocument(text).unwrap();
  return SettingsTree.create(revision ?? 0, nodes).unwrap();
}

test('a node inherits from its parent and overrides only what it names', () => {
  const tree = createTree(DOCUMENT);
  const tags = tree.forService('tags');
  assert.equal(tags?.queue.maxWaiting, 50);
  assert.equal(tags?.retry.budgetShare, 0.2);
  assert.deepEqual(tags?.fairness.weights, {'night-batch': 2, 'day-shift': 3});
  assert.equal(tree.forService('invoicing')?.queue.maxWaiting, 1000);
  assert.equal(tree.forWorkers().workers.leaseMs, 5000);
  assert.equal(tree.forRoot().retry.budgetShare, 0.1);
  assert.equal(tree.forService('unknown'), undefined);
  assert.deepEqual(tree.listServices(), ['invoicing', 'tags']);
});

test('the defaults apply before the first edit', () => {
  const tree = SettingsTree.createEmpty();
  assert.deepEqual(tree.getEffective('/'), defaultSettings);
  assert.deepEqual(tree.forWorkers(), defaultSettings);
});

test('a tree formatted as a document parses to the same tree', () => {
  const tree = createTree(DOCUMENT);
  const text = formatDocument(tree);
  snapshots.match('document', text);
  assert.deepEqual(createTree(text).toSnapshot(), tree.toSnapshot());
  const copy = SettingsTree.fromSnapshot(tree.toSnapshot()).unwrap();
  assert.deepEqual(copy.forService('tags'), tree.forService('tags'));
});

test('an invalid value is reported once, with the node and key that set it', () => {
  const {nodes} = parseDocument(`
["/".queue]
max_waiting = -1
maxWaiting = 5
["/".logs.levels]
peers = "loud"
nobody = "info"
["/pricing"]
kind = "group"
colour = "red"
retry = 3
["/pricing/tags"]
kind = "service"
["/pricing/labels"]
kind = "service"
placement.policy = "best"
fairness.weights = {Team_1 = 1, team_2 = 0}
`).unwrap();
  snapshots.match('values', SettingsTree.create(1, nodes).unwrapErr());
});

test('constraints between settings are checked at every node', () => {
  const {nodes} = parseDocument(`
["/"]
workers.renew_ms = 9000
["/racks"]
kind = "workers"
workers = {lease_ms = 9000}
ejection.base_ms = 70000
`).unwrap();
  snapshots.match('together', SettingsTree.create(1, nodes).unwrapErr());
});

test('a tree requires a root, groups as parents, and one node for each purpose', () => {
  const {nodes} = parseDocument(`
["/a"]
kind = "service"
["/a/b"]
kind = "group"
["/c/d"]
kind = "group"
["/g"]
kind = "group"
["/g/a"]
kind = "service"
["/w"]
kind = "workers"
["/g/w"]
kind = "workers"
["no path"]
kind = "group"
["/Upper"]
kind = "group"
`).unwrap();
  snapshots.match('form', SettingsTree.create(1, nodes).unwrapErr());
  snapshots.match('empty', SettingsTree.create(1, new Map()).unwrapErr());
});

test('a tree that exceeds the size limit of the platform is rejected', () => {
  const weights = Array.from({length: 80_000}, (_, n) => [`team-${n}-team`, 1]);
  const root = {
    kind: 'group',
    values: {fairness: {weights: Object.fromEntries(weights) as object}},
  };
  const large = SettingsTree.fromSnapshot({revision: 1, nodes: {'/': root}});
  snapshots.match('size', large.unwrapErr());
});

test('a diff lists every changed key and every added or removed node', () => {
  const after = createTree(`
["/".queue]
max_waiting = 1000
["/pricing"]
kind = "group"
retry.budget_share = 0.3
["/pricing/tags"]
kind = "service"
["/pricing/labels"]
kind = "service"
`);
  snapshots.match('diff', diffNodes(createTree(DOCUMENT).nodes, after.nodes));
  assert.deepEqual(diffNodes(after.nodes, after.nodes), []);
});

test('each effective value is traced to the nearest node that sets it', () => {
  const tree = createTree(DOCUMENT);
  const traced = traceValues(tree, 'pricing/tags') ?? [];
  const keys = ['queue.max_waiting', 'retry.budget_share', 'retry.max_starts'];
  assert.deepEqual(
    traced.filter(({key}) => keys.includes(key)),
    [
      {key: 'queue.max_waiting', value: 50, from: '/pricing/tags'},
      {key: 'retry.budget_share', value: 0.2, from: '/pricing'},
      {key: 'retry.max_starts', value: 3, from: undefined},
    ],
  );
  assert.equal(traceValues(tree, '/nowhere'), undefined);
});

test('an invalid document is rejected with the path of each problem', () => {
  const text =
    'revision = -1\nqueue = 3\n["/a"]\nkind = "thing"\n["/b"]\nx=1\n[c]\nkind="group"\n["/c"]\nkind="group"';
  const failure = parseDocument(text).unwrapErr();
  assert.equal(failure.code, FailureCode.SettingsInvalid);
  snapshots.match('no document', failure.message);
});

test('command line values are parsed as TOML, otherwise used as text', () => {
  const read = [
    '20000',
    'true',
    '0.5',
    'holding',
    '"a b"',
    '{a = 1}',
    '1\nb=2',
  ];
  assert.equal(
    JSON.stringify(read.map(text => parseSettingValue(text))),
    JSON.stringify([20000, true, 0.5, 'holding', 'a b', {a: 1}, '1\nb=2']),
  );
});

test('effective settings equal the whole schema applied to all inherited values', () => {
  const section = fc.record(
    {
      max_waiting: fc.oneof(fc.integer({min: -1, max: 9}), fc.constant('x')),
      budget_share: fc.double({min: -0.1, max: 1.1, noNaN: true}),
      max_starts: fc.integer({min: 0, max: 3}),
      weights: fc.dictionary(fc.constantFrom('a', 'b-c', 'D'), fc.nat(3)),
    },
    {requiredKeys: []},
  );
  const name = fc.constantFrom('queue', 'retry', 'fairness', 'other');
  const values = fc.dictionary(name, section, {maxKeys: 3});
  fc.assert(
    fc.property(values, values, (root, own) => {
      const nodes = {
        '/': {kind: NodeKind.Group, values: root},
        '/a': {kind: NodeKind.Service, values: own},
      };
      const tree = SettingsTree.fromSnapshot({revision: 1, nodes});
      const [above, whole] = [root, mergeValues(root, own)].map(each =>
        effectiveSettingsSchema.safeParse(toCamelCase(each)),
      );
      assert.equal(tree.isOk(), above?.success && whole?.success);
      if (tree.isOk())
        assert.deepEqual(tree.value.forService('a'), whole?.data);
    }),
    {seed: 17, numRuns: 500},
  );
});

test('any snapshot results in a tree or in problems, and never changes a prototype', () => {
  const key = fc.constantFrom(
    '/',
    '/a',
    'kind',
    'values',
    'queue',
    'max_waiting',
    'weights',
    '__proto__',
    'constructor',
  );
  const {node} = fc.letrec(tie => ({
    node: fc.oneof(
      {depthSize: 'small'},
      fc.constantFrom('group', 'service', 1, null, true),
      fc.dictionary(key, tie('node')),
    ),
  }));
  fc.assert(
    fc.property(fc.dictionary(key, node), nodes => {
      const text = JSON.stringify({revision: 1, nodes});
      const snapshot = JSON.parse(text) as {revision: number; nodes: object};
      SettingsTree.fromSnapshot({revision: 1, nodes: {...snapshot.nodes}});
      const root = {'/': {kind: 'group', values: {...snapshot.nodes}}};
      SettingsTree.fromSnapshot({revision: 1, nodes: root});
      assert.equal(({} as Record<string, unknown>)['max_waiting'], undefined);
    }),
    {seed: 5, numRuns: 300},
  );
});
