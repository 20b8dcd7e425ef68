import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createToken,
  Election,
  SILENCE_MS,
  type Member,
  type Role,
  type SelfState,
} from '../src/election/index.js';

const informed = {isLeaving: false, informedSince: -10_000};

function createMember(id: string, changes: Partial<Member> = {}): Member {
  return {
    id,
    processors: 1,
    isTried: false,
    isLeaving: false,
    heardAt: undefined,
    isHeard: false,
    isRefused: false,
    holderId: undefined,
    holderHeardAt: undefined,
    ...changes,
  };
}

/** The role chosen when silence counts as for one that is watched closely. */
function chooseRole(
  election: Election,
  members: readonly Member[],
  state: SelfState,
  now: number,
): Role {
  const seen = members.map(member => {
    const {heardAt} = member;
    const isHeard = heardAt !== undefined && now - heardAt < SILENCE_MS;
    return {...member, isHeard};
  });
  return election.chooseRole(seen, state, now);
}

function follow(holderId: string, token: number): Election {
  const election = new Election({id: 'b', processors: 1}, 0);
  election.noteClaim({holderId, token});
  return election;
}

test('an instance listens before it claims', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  assert.equal(chooseRole(election, [], informed, 100).kind, 'wait');
  assert.equal(chooseRole(election, [], informed, 300).kind, 'claim');
});

test('an instance that knows no list and nobody waits much longer', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  const state = {isLeaving: false, informedSince: undefined};
  assert.equal(chooseRole(election, [], state, 2_000).kind, 'wait');
  assert.equal(chooseRole(election, [], state, 3_100).kind, 'claim');
});

test('the first of those that are heard takes over from a silent holder', () => {
  const election = follow('a', 10);
  const members = [
    createMember('a', {heardAt: 1_000}),
    createMember('c', {heardAt: 1_990}),
  ];
  const role = chooseRole(election, members, informed, 1_500);
  assert.deepEqual(role, {kind: 'follow', holderId: 'a'});
  assert.equal(chooseRole(election, members, informed, 2_000).kind, 'claim');
});

test('a holder that another instance still hears is not replaced', () => {
  const election = follow('a', 10);
  const members = [
    createMember('a', {heardAt: 1_000}),
    createMember('c', {
      heardAt: 1_990,
      holderId: 'a',
      holderHeardAt: 1_900,
    }),
  ];
  const role = chooseRole(election, members, informed, 2_000);
  assert.deepEqual(role, {kind: 'follow', holderId: 'a'});
});

test('an instance that is cut off from all others waits before it claims', () => {
  const election = follow('a', 10);
  const members = [
    createMember('a', {heardAt: 1_000}),
    createMember('c', {heardAt: 1_000}),
  ];
  assert.equal(chooseRole(election, members, informed, 2_000).kind, 'wait');
  assert.equal(chooseRole(election, members, informed, 4_100).kind, 'claim');
});

test('one of two takes over at once when the other host refuses', () => {
  const election = follow('a', 10);
  const members = [createMember('a', {heardAt: 1_000, isRefused: true})];
  assert.equal(chooseRole(election, members, informed, 1_700).kind, 'claim');
});

test('a holder whose host refuses is replaced at once, unless another hears it', () => {
  const election = follow('a', 10);
  const holder = createMember('a', {heardAt: 1_990, isRefused: true});
  const other = createMember('c', {heardAt: 1_990, holderId: 'a'});
  const hears = {...other, holderHeardAt: 1_900};
  const choose = (members: readonly Member[]) =>
    chooseRole(election, members, informed, 2_000).kind;
  assert.equal(choose([holder, hears]), 'follow');
  assert.equal(choose([holder, other]), 'claim');
});

test('a leaving holder goes on until a higher claim is heard', () => {
  const election = follow('b', 10);
  const members = [createMember('c', {heardAt: 990})];
  const state = {isLeaving: true, informedSince: -10_000};
  assert.equal(chooseRole(election, members, state, 1_000).kind, 'hold');
  election.noteClaim({holderId: 'c', token: 11});
  assert.deepEqual(chooseRole(election, members, state, 1_000), {
    kind: 'follow',
    holderId: 'c',
  });
});

test('others take over from a leaving holder without waiting', () => {
  const election = follow('a', 10);
  const members = [createMember('a', {heardAt: 990, isLeaving: true})];
  assert.equal(chooseRole(election, members, informed, 1_000).kind, 'claim');
});

test('a fenced holder does not fight for its workers while it is alone', () => {
  const election = follow('b', 10);
  election.noteFenced(1_000);
  assert.equal(chooseRole(election, [], informed, 9_000).kind, 'wait');
  const role = chooseRole(election, [], informed, 11_100);
  assert.equal(role.kind, 'claim');
  assert.ok(role.kind === 'claim' && role.skip > 0);
});

test('tokens rise, also when clocks go back, and differ between processes', () => {
  const first = createToken(0, 5, Date.UTC(2026, 0, 1), 0);
  const later = createToken(first, 7, Date.UTC(2025, 0, 1), 0);
  const same = createToken(0, 6, Date.UTC(2026, 0, 1), 0);
  assert.ok(later > first);
  assert.notEqual(same, first);
  assert.ok(Number.isSafeInteger(createToken(later, 1, Date.now(), 1_000)));
});

test('the strongest of those that are heard takes over, whatever its name', () => {
  const members = [
    createMember('a', {heardAt: 1_000}),
    createMember('c', {heardAt: 1_990, processors: 2}),
  ];
  const role = chooseRole(follow('a', 10), members, informed, 2_000);
  assert.deepEqual(role, {kind: 'wait'});
  const strong = new Election({id: 'c', processors: 2}, 0);
  strong.noteClaim({holderId: 'a', token: 10});
  const others = [
    createMember('a', {heardAt: 1_000}),
    createMember('b', {heardAt: 1_990}),
  ];
  assert.equal(chooseRole(strong, others, informed, 2_000).kind, 'claim');
});

test('a weak holder makes way for a much stronger instance, and for no other', () => {
  const roles = [0.3, 0.8].map(processors => {
    const strong = new Election({id: 'c', processors: 1.35}, 0);
    strong.noteClaim({holderId: 'a', token: 10});
    const holder = createMember('a', {heardAt: 1_990, processors});
    return chooseRole(strong, [holder], informed, 2_000).kind;
  });
  assert.deepEqual(roles, ['claim', 'follow']);
});

test('a list of instances that was just read without others is no reason to claim', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  const state = {isLeaving: false, informedSince: 100};
  assert.equal(chooseRole(election, [], state, 1_500).kind, 'wait');
  assert.equal(chooseRole(election, [], state, 1_700).kind, 'claim');
});

test('a host that refuses says nothing of instances that are not listed yet', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  const state = {isLeaving: false, informedSince: 100};
  const members = [createMember('c', {isRefused: true})];
  assert.equal(chooseRole(election, members, state, 1_500).kind, 'wait');
  assert.equal(chooseRole(election, members, state, 1_700).kind, 'claim');
});
