import assert from 'node:assert/strict';
import {test} from 'node:test';
import {HolderSuccession} from '../src/election/index.js';

const SETTLE_MS = 1_000;

/** Creates the succession of an instance that knows a claim of long ago. */
function createSuccession(): HolderSuccession {
  const succession = new HolderSuccession(SETTLE_MS);
  succession.record({holderId: 'a', token: 1}, 0);
  return succession;
}

test('the time of unclaimed runs goes on over short-lived holders, however many', () => {
  const succession = createSuccession();
  for (const token of [2, 3, 4])
    succession.record({holderId: 'b', token}, 100 + token * 900);
  assert.equal(succession.unclaimedSince, 1_900);
});

test('the time of unclaimed runs begins anew after a holder that stayed', () => {
  const succession = createSuccession();
  succession.record({holderId: 'b', token: 2}, 100);
  assert.equal(succession.findUnsettledMs(1_099), 999);
  assert.equal(succession.findUnsettledMs(1_100), undefined);
  succession.record({holderId: 'c', token: 3}, 1_100);
  assert.equal(succession.unclaimedSince, 1_100);
});

test('an instance that has just started learns of a short-lived holder from its peers', () => {
  const succession = new HolderSuccession(SETTLE_MS);
  succession.record({holderId: 'b', token: 2, unsettledMs: 400}, 5_000);
  succession.record({holderId: 'c', token: 3, unsettledMs: 0}, 5_100);
  assert.equal(succession.unclaimedSince, 4_600);
});

test('an instance that saw a claim late takes the earlier time of a peer', () => {
  const succession = createSuccession();
  succession.record({holderId: 'b', token: 2}, 500);
  succession.record({holderId: 'b', token: 2, unsettledMs: 300}, 510);
  succession.record({holderId: 'b', token: 2}, 520);
  assert.equal(succession.unclaimedSince, 210);
});
