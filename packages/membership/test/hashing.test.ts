import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {pickHolder, rank, type Candidate} from '../src/index.js';

const SEED = 20_261_203;

function createMembers(count: number, weightOf = (_: number) => 1) {
  return Array.from({length: count}, (_, index): Candidate => {
    const instance = `i${index}`;
    const incarnation = `east.${instance}.0123456789ab`;
    return {incarnation, zone: 'east', instance, weight: weightOf(index)};
  });
}

const keys = Array.from({length: 4_000}, (_, index) => `server-${index}`);

test('a change of one member moves exactly the keys it wins or loses', () => {
  const weights = fc.array(fc.double({min: 0.1, max: 8, noNaN: true}), {
    minLength: 2,
    maxLength: 12,
  });
  fc.assert(
    fc.property(
      weights,
      fc.nat(),
      fc.array(fc.string()),
      (all, pick, named) => {
        const members = createMembers(all.length, index => all[index] ?? 1);
        const left = members[pick % members.length];
        const rest = members.filter(member => member !== left);
        for (const key of named) {
          const before = pickHolder(key, members);
          const after = pickHolder(key, rest);
          if (before === left) assert.equal(after, rank(key, members)[1]);
          else assert.equal(after, before);
        }
      },
    ),
    {seed: SEED, numRuns: 300},
  );
});

test('the holder is the first of the ranking, whatever the order of members', () => {
  const members = createMembers(7, index => 1 + (index % 3));
  const reversed = [...members].reverse();
  for (const key of keys.slice(0, 500)) {
    const ranking = rank(key, members);
    assert.equal(pickHolder(key, members), ranking[0]);
    assert.deepEqual(rank(key, reversed), ranking);
    assert.equal(pickHolder(key, reversed), ranking[0]);
  }
});

test('keys are shared by weight', () => {
  const members = createMembers(4, index => index + 1);
  const counts = new Map<Candidate | undefined, number>();
  for (const key of keys) {
    const holder = pickHolder(key, members);
    counts.set(holder, (counts.get(holder) ?? 0) + 1);
  }
  for (const member of members) {
    const share = (counts.get(member) ?? 0) / keys.length;
    assert.ok(Math.abs(share - member.weight / 10) < 0.03, `${share}`);
  }
});

test('about one key in n moves when the nth member comes', () => {
  for (const count of [2, 5, 8, 20]) {
    const fewer = createMembers(count - 1);
    const more = createMembers(count);
    const moved = keys.filter(
      key =>
        pickHolder(key, fewer)?.instance !== pickHolder(key, more)?.instance,
    ).length;
    assert.ok(Math.abs(moved / keys.length - 1 / count) < 0.03);
  }
});

test('a restart of a member moves no key', () => {
  const members = createMembers(6);
  const restarted = members.map((member, index) => {
    if (index !== 2) return member;
    return {...member, incarnation: 'east.i2.ffffffffffff'};
  });
  for (const key of keys) {
    const before = pickHolder(key, members)?.instance;
    assert.equal(pickHolder(key, restarted)?.instance, before);
  }
});

test('there is no holder without members', () => {
  assert.equal(pickHolder('server', []), undefined);
  assert.deepEqual(rank('server', []), []);
});
