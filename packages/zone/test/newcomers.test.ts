import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Newcomers} from '../src/instance/newcomers.js';

test('a peer is told all when it is heard first, and again after a silence', () => {
  const newcomers = new Newcomers();
  const times = [0, 500, 1_000, 2_500, 5_000, 5_400, 6_000];
  const told = times.filter(now => newcomers.recordHeartbeat('b', now));
  assert.deepEqual(told, [0, 500, 5_000, 5_400]);
});
