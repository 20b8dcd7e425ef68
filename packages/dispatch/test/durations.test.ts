import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Durations} from '../src/index.js';

test('a new worker counts as fast as the others of its kind', () => {
  const durations = new Durations();
  durations.setKind('w1', 'quick');
  durations.setKind('w2', 'quick');
  durations.setKind('w3', 'plain');
  for (let count = 0; count < 50; count += 1) {
    durations.learn('w1', 'quotes', 100, 60);
    durations.learn('w3', 'quotes', 100, 140);
  }
  const quick = durations.slownessOf('w2') / durations.slownessOf('w3');
  assert.ok(quick < 0.6, `${quick}`);
});

test('a worker that is slower than its kind is known after a few runs', () => {
  const durations = new Durations();
  for (const id of ['w1', 'w2']) durations.setKind(id, 'quick');
  for (let count = 0; count < 50; count += 1) {
    durations.learn('w1', 'quotes', 100, 100);
  }
  for (let count = 0; count < 5; count += 1) {
    durations.learn('w2', 'quotes', 100, 400);
  }
  assert.ok(durations.slownessOf('w2') > 1.6);
  assert.ok(durations.slownessOf('w1') < 1.1);
});
