import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {pickMember, rankMembers, type Candidate} from '../src/index.js';

const SEED = 20_261_203;

function createMembers(count: number, weightAt = (_: number) => 1) {
  return Array.from({length: count}, (_, index): Candidate => {
    const instance = `i${index}`;
    const incarnation = `east.${instance}.0123456789ab`;
    return {incarnation, zone: 'east', instance, weight: weightAt(index)};
  });
}

const keys = Array.from({length: 4_000}, (_, index) => `server-${index}`);

test('removing a member moves only its own keys, each to the next in the ranking', () => {
  const weights = fc.array(fc.double({min: 0.1, max: 8, noNaN: true}), {
    minLength: 2,
    maxLength: 12,
  });
  fc.assert(
    fc.property(
      weights,
      fc.nat(),
      fc.array(fc.string()),
      (weightList, pick, sampleKeys) => {
        const members = createMembers(
          weightList.length,
          index => weightList[index] ?? 1,
        );
        const removed = members[pick % members.length];
        const rest = members.filter(member => member !== removed);
        for (const key of sampleKeys) {
          const before = pickMember(key, members);
          const after = pickMember(key, rest);
          if (before === removed)
            assert.equal(after, rankMembers(key, members)[1]);
          else assert.equal(after, before);
        }
      },
    ),
    {seed: SEED, numRuns: 300},
  );
});

test('the picked member is first in the ranking, regardless of the member order', () => {
  const members = createMembers(7, index => 1 + (index % 3));
  const reversed = [...members].reverse();
  for (const key of keys.slice(0, 500)) {
    const ranking = rankMembers(key, members);
    assert.equal(pickMember(key, members), ranking[0]);
    assert.deepEqual(rankMembers(key, reversed), ranking);
    assert.equal(pickMember(key, reversed), ranking[0]);
  }
});

test('keys are distributed in proportion to the weights', () => {
  const members = createMembers(4, index => index + 1);
  const counts = new Map<Candidate | undefined, number>();
  for (const key of keys) {
    const picked = pickMember(key, members);
    counts.set(picked, (counts.get(picked) ?? 0) + 1);
  }
  for (const member of members) {
    const share = (counts.get(member) ?? 0) / keys.length;
    assert.ok(Math.abs(share - member.weight / 10) < 0.03, `${share}`);
  }
});

test('adding the nth member moves about one key in n', () => {
  for (const count of [2, 5, 8, 20]) {
    const fewer = createMembers(count - 1);
    const more = createMembers(count);
    const moved = keys.filter(
      key =>
        pickMember(key, fewer)?.instance !== pickMember(key, more)?.instance,
    ).length;
    assert.ok(Math.abs(moved / keys.length - 1 / count) < 0.03);
  }
});

test('restarting a member moves no keys', () => {
  const members = createMembers(6);
  const restarted = members.map((member, index) => {
    if (index !== 2) return member;
    return {...member, incarnation: 'east.i2.ffffffffffff'};
  });
  for (const key of keys) {
    const before = pickMember(key, members)?.instance;
    assert.equal(pickMember(key, restarted)?.instance, before);
  }
});

test('without members, nothing is picked', () => {
  assert.equal(pickMember('server', []), undefined);
  assert.deepEqual(rankMembers('server', []), []);
});
