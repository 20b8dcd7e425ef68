import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isListingAwaited} from '../src/holder/listing_age.js';

const HOLDER_SINCE = 1_000;

test('a new holder waits for a list of workers that was read after it took over', () => {
  const outdated = {workers: [], asOf: 900, isReachable: true};
  assert.equal(isListingAwaited(outdated, HOLDER_SINCE, 1_010), true);
  const current = {...outdated, asOf: 1_005};
  assert.equal(isListingAwaited(current, HOLDER_SINCE, 1_010), false);
});

test('a new holder uses an old list of workers when the store does not answer', () => {
  const neverRead = {workers: [], asOf: undefined, isReachable: true};
  assert.equal(isListingAwaited(neverRead, HOLDER_SINCE, 1_499), true);
  assert.equal(isListingAwaited(neverRead, HOLDER_SINCE, 1_500), false);
  const unreachable = {...neverRead, isReachable: false};
  assert.equal(isListingAwaited(unreachable, HOLDER_SINCE, 1_010), false);
});
