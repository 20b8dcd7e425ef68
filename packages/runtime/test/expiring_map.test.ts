import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ExpiringMap} from '../src/index.js';

test('an entry is kept for the retention time after it was last set', () => {
  const map = new ExpiringMap<string, number>(100);
  map.set('a', 1, 0);
  map.set('a', 2, 50);
  assert.equal(map.get('a', 149), 2);
  assert.equal(map.get('a', 150), undefined);
});

test('an entry that was set again outlasts those set before', () => {
  const map = new ExpiringMap<string, number>(100);
  map.set('a', 1, 0);
  map.set('b', 1, 10);
  map.set('a', 2, 90);
  map.set('c', 1, 120);
  assert.deepEqual([map.get('a', 120), map.get('b', 120)], [2, undefined]);
});

test('the oldest entry is forgotten when there are too many', () => {
  const map = new ExpiringMap<string, number>(100, 2);
  for (const [at, key] of ['a', 'b', 'c'].entries()) map.set(key, 1, at);
  const values = ['a', 'b', 'c'].map(key => map.get(key, 3));
  assert.deepEqual(values, [undefined, 1, 1]);
});

test('a deleted entry is gone', () => {
  const map = new ExpiringMap<string, number>(100);
  map.set('a', 1, 0);
  map.delete('a');
  assert.equal(map.get('a', 1), undefined);
});
