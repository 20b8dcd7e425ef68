import assert from 'node:assert/strict';
import {test} from 'node:test';
import {openSnapshots} from '../src/index.js';

const snapshots = openSnapshots(import.meta.url);

test('a value that equals its snapshot passes', () => {
  snapshots.match('a value', {job: 'complete', tasks: 3});
});

test('a value without a snapshot fails', () => {
  if (process.env['UPDATE_SNAPSHOTS'] === 'all') return;
  assert.throws(() => snapshots.match('no such snapshot', 1));
});
