import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isListingAwaited} from '../src/holder/listing_age.js';

const HELD_SINCE = 1_000;

test('a new holder waits for a list of workers that was read after it took over', () => {
  const old = {workers: [], asOf: 900, isReachable: true};
  assert.equal(isListingAwaited(old, HELD_SINCE, 1_010), true);
  const own = {...old, asOf: 1_005};
  assert.equal(isListingAwaited(own, HELD_SINCE, 1_010), false);
});

test('a new holder uses an old list of workers when the store does not answer', () => {
  const silent = {workers: [], asOf: undefined, isReachable: true};
  assert.equal(isListingAwaited(silent, HELD_SINCE, 1_499), true);
  assert.equal(isListingAwaited(silent, HELD_SINCE, 1_500), false);
  const away = {...silent, isReachable: false};
  assert.equal(isListingAwaited(away, HELD_SINCE, 1_010), false);
});
