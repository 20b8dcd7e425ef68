import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureCode, type SettingsRevision} from '@goldcrestpier/protocol';
import {NodeKind, SettingsTree} from '@goldcrestpier/settings';
import {diffRevisions, listEffectiveValues} from '../src/views/index.js';

const tree = SettingsTree.create(
  3,
  new Map([
    ['/', {kind: NodeKind.Group, values: {retry: {max_starts: 4}}}],
    [
      '/billing',
      {
        kind: NodeKind.Group,
        values: {fairness: {weights: {clerks: 2, agents: 1}}},
      },
    ],
    [
      '/billing/quotes',
      {
        kind: NodeKind.Service,
        values: {fairness: {weights: {clerks: 3}}, retry: {max_starts: 2}},
      },
    ],
  ]),
).unwrap();

test('each effective value is listed with the nearest node that sets it', () => {
  const {revision, values} = listEffectiveValues(
    tree,
    '/billing/quotes',
  ).unwrap();
  const find = (key: string) => values.find(value => value.key === key);
  assert.equal(revision, 3);
  assert.deepEqual(find('retry.max_starts'), {
    key: 'retry.max_starts',
    value: 2,
    from: '/billing/quotes',
  });
  assert.equal(find('fairness.weights.clerks')?.from, '/billing/quotes');
  assert.equal(find('fairness.weights.agents')?.from, '/billing');
  assert.deepEqual(find('fairness.quotas'), {
    key: 'fairness.quotas',
    value: {},
  });
  assert.equal(find('queue.max_waiting')?.from, undefined);
  const root = listEffectiveValues(tree, '/').unwrap();
  assert.equal(
    root.values.find(({key}) => key === 'retry.max_starts')?.value,
    4,
  );
});

test('an unknown node is refused and named in the message', () => {
  const {code, message} = listEffectiveValues(tree, '/tags').unwrapErr();
  assert.equal(code, FailureCode.SettingsUnknownNode);
  assert.match(message, /"\/tags"/);
});

function createRevision(
  revision: number,
  before: unknown,
  after: unknown,
  omitted = 0,
): SettingsRevision {
  const change = {node: '/', key: 'retry.max_starts', before, after};
  const head = {revision, editId: `e${revision}`, by: 'rosa', at: ''};
  return {...head, changes: [change], omitted};
}

const history = [
  createRevision(9, 4, 2),
  createRevision(8, 5, 4, 7),
  createRevision(7, 2, 5),
];

test('a diff merges the edits between two revisions', () => {
  const diff = diffRevisions(history, 7, undefined).unwrap();
  assert.deepEqual(diff, {
    from: 7,
    to: 9,
    changes: [{node: '/', key: 'retry.max_starts', before: 5, after: 2}],
    omitted: 7,
  });
});

test('a diff leaves out a key that is back at its original value', () => {
  assert.deepEqual(diffRevisions(history, 6, 9).unwrap().changes, []);
  assert.deepEqual(diffRevisions(history, 9, 9).unwrap().changes, []);
});

for (const [from, to, message] of [
  [5, 9, /from: found 5, expected a revision from 6 to 9/],
  [8, 7, /from: found 8, expected a revision from 6 to 7/],
  [7, 10, /to: found 10, expected a revision from 6 to 9/],
] as const) {
  test(`a diff from ${from} to ${to} is refused with the valid range`, () => {
    assert.match(diffRevisions(history, from, to).unwrapErr().message, message);
  });
}

test('an empty history has only revision 0', () => {
  assert.deepEqual(diffRevisions([], 0, undefined).unwrap().changes, []);
  assert.ok(diffRevisions([], 1, undefined).isErr());
});
