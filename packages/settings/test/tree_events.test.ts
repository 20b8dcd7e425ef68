import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {KeyValueEvent} from '@goldcrestpier/platform';
import fc from 'fast-check';
import {applyEvents} from '../src/follow/tree_events.js';
import {SettingsTree} from '../src/index.js';

const PREFIX = 'goldcrestpier/settings/tree/';

function createEvent(
  key: string,
  value: unknown,
  modRevision: number,
  isDeleted = false,
): KeyValueEvent {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  const kv = {key: `${PREFIX}${key}`, value: text, modRevision};
  return {isDeleted: isDeleted, kv: {...kv, createRevision: 1, version: 1}};
}

/** Creates the events of one edit that sets `queue.max_waiting` at the root. */
function createEdit(revision: number, maxWaiting: number): KeyValueEvent[] {
  const modRevision = revision + 100;
  const record = {revision, editId: 'id', by: 'maria', at: '', changes: []};
  const values = {queue: {max_waiting: maxWaiting}};
  return [
    createEvent('revision', record, modRevision),
    createEvent('nodes/', {kind: 'group', values}, modRevision),
  ];
}

function createTree(revision: number, maxWaiting: number): SettingsTree {
  const values = {queue: {max_waiting: maxWaiting}};
  const nodes = {'/': {kind: 'group', values}};
  return SettingsTree.fromSnapshot({revision, nodes}).unwrap();
}

test('the next edit changes the nodes that its events contain', () => {
  const next = applyEvents(createTree(4, 40), createEdit(5, 50));
  assert.deepEqual(next?.toSnapshot(), createTree(5, 50).toSnapshot());
});

test('several edits in one batch of events are applied in order of revision', () => {
  const events = [...createEdit(6, 60), ...createEdit(5, 50)];
  const next = applyEvents(createTree(4, 40), events);
  assert.deepEqual(next?.toSnapshot(), createTree(6, 60).toSnapshot());
});

test('an edit that was already applied changes nothing', () => {
  const tree = createTree(5, 50);
  assert.equal(applyEvents(tree, createEdit(3, 30)), tree);
  const next = applyEvents(tree, [...createEdit(5, 1), ...createEdit(6, 60)]);
  assert.deepEqual(next?.toSnapshot(), createTree(6, 60).toSnapshot());
});

test('an edit after a missing revision requires reading the whole tree', () => {
  assert.equal(applyEvents(createTree(4, 40), createEdit(6, 60)), undefined);
});

test('unreadable or invalid events require reading the whole tree', () => {
  const [record] = createEdit(5, 50);
  assert.ok(record !== undefined);
  const wrong = [
    [createEvent('revision', 'torn', 105)],
    [createEvent('revision', '', 105, true)],
    [createEvent('nodes/', {kind: 'group'}, 105)],
    [record, createEvent('nodes/', 'torn', 105)],
    [record, createEvent('nodes/', {kind: 'service'}, 105)],
    [record, createEvent('nodes/', '', 105, true)],
    [record, createEvent('nodes/a/b', {kind: 'group'}, 105)],
  ];
  for (const events of wrong) {
    assert.equal(applyEvents(createTree(4, 40), events), undefined);
  }
});

test('any events result in a tree that is not older, or require reading the whole tree', () => {
  const key = fc.constantFrom('revision', 'nodes/', 'nodes/a', 'other');
  const value = fc.oneof(
    fc.jsonValue(),
    fc.constantFrom(
      {kind: 'group', values: {}},
      {revision: 5, editId: '', by: '', at: '', changes: []},
    ),
  );
  const event = fc
    .tuple(key, value, fc.nat(3), fc.boolean())
    .map(parts => createEvent(...parts));
  fc.assert(
    fc.property(fc.array(event), events => {
      const tree = createTree(4, 40);
      const next = applyEvents(tree, events);
      assert.ok(next === undefined || next.revision >= tree.revision);
    }),
    {seed: 13},
  );
});
