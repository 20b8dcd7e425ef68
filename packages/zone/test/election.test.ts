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

const listReadLongAgo = {isLeaving: false, registrationsKnownSince: -10_000};

function createMember(id: string, changes: Partial<Member> = {}): Member {
  return {
    id,
    processors: 1,
    isConnecting: false,
    isLeaving: false,
    heardAt: undefined,
    isResponsive: false,
    isRefused: false,
    holderId: undefined,
    holderHeardAt: undefined,
    ...changes,
  };
}

/** Chooses the role with the silence timeout of closely monitored instances. */
function chooseRole(
  election: Election,
  members: readonly Member[],
  state: SelfState,
  now: number,
): Role {
  const observedMembers = members.map(member => {
    const {heardAt} = member;
    const isResponsive = heardAt !== undefined && now - heardAt < SILENCE_MS;
    return {...member, isResponsive};
  });
  return election.chooseRole(observedMembers, state, now);
}

function createFollower(holderId: string, token: number): Election {
  const election = new Election({id: 'b', processors: 1}, 0);
  election.recordClaim({holderId, token});
  return election;
}

test('a new instance listens before it claims the workers', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  assert.equal(chooseRole(election, [], listReadLongAgo, 100).kind, 'wait');
  assert.equal(chooseRole(election, [], listReadLongAgo, 300).kind, 'claim');
});

test('an instance that has neither peers nor a list of instances waits longer before it claims', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  const state = {isLeaving: false, registrationsKnownSince: undefined};
  assert.equal(chooseRole(election, [], state, 2_000).kind, 'wait');
  assert.equal(chooseRole(election, [], state, 3_100).kind, 'claim');
});

test('the first reachable instance takes over from a silent holder', () => {
  const election = createFollower('a', 10);
  const members = [
    createMember('a', {heardAt: 1_000}),
    createMember('c', {heardAt: 1_990}),
  ];
  const role = chooseRole(election, members, listReadLongAgo, 1_500);
  assert.deepEqual(role, {kind: 'follow', holderId: 'a'});
  assert.equal(
    chooseRole(election, members, listReadLongAgo, 2_000).kind,
    'claim',
  );
});

test('a holder that another instance still receives heartbeats from is not replaced', () => {
  const election = createFollower('a', 10);
  const members = [
    createMember('a', {heardAt: 1_000}),
    createMember('c', {
      heardAt: 1_990,
      holderId: 'a',
      holderHeardAt: 1_900,
    }),
  ];
  const role = chooseRole(election, members, listReadLongAgo, 2_000);
  assert.deepEqual(role, {kind: 'follow', holderId: 'a'});
});

test('an instance that is partitioned from all others waits before it claims', () => {
  const election = createFollower('a', 10);
  const members = [
    createMember('a', {heardAt: 1_000}),
    createMember('c', {heardAt: 1_000}),
  ];
  assert.equal(
    chooseRole(election, members, listReadLongAgo, 2_000).kind,
    'wait',
  );
  assert.equal(
    chooseRole(election, members, listReadLongAgo, 4_100).kind,
    'claim',
  );
});

test('one of two instances takes over at once when the other host refuses connections', () => {
  const election = createFollower('a', 10);
  const members = [createMember('a', {heardAt: 1_000, isRefused: true})];
  assert.equal(
    chooseRole(election, members, listReadLongAgo, 1_700).kind,
    'claim',
  );
});

test('one of three instances takes over at once when both others are refused, as they may have been killed', () => {
  const election = createFollower('a', 10);
  const members = [
    createMember('a', {heardAt: 1_990, isRefused: true}),
    createMember('c', {heardAt: 1_600, isRefused: true}),
  ];
  const role = chooseRole(election, members, listReadLongAgo, 2_050);
  assert.equal(role.kind, 'claim');
});

test('a holder whose host refuses connections is replaced at once unless a peer hears it', () => {
  const election = createFollower('a', 10);
  const holder = createMember('a', {heardAt: 1_990, isRefused: true});
  const other = createMember('c', {heardAt: 1_990, holderId: 'a'});
  const otherHearingHolder = {...other, holderHeardAt: 1_900};
  const choose = (members: readonly Member[]) =>
    chooseRole(election, members, listReadLongAgo, 2_000).kind;
  assert.equal(choose([holder, otherHearingHolder]), 'follow');
  assert.equal(choose([holder, other]), 'claim');
});

test('a stopping holder keeps its role until it receives a higher claim', () => {
  const election = createFollower('b', 10);
  const members = [createMember('c', {heardAt: 990})];
  const state = {isLeaving: true, registrationsKnownSince: -10_000};
  assert.equal(chooseRole(election, members, state, 1_000).kind, 'hold');
  election.recordClaim({holderId: 'c', token: 11});
  assert.deepEqual(chooseRole(election, members, state, 1_000), {
    kind: 'follow',
    holderId: 'c',
  });
});

test('other instances take over from a stopping holder without waiting', () => {
  const election = createFollower('a', 10);
  const members = [createMember('a', {heardAt: 990, isLeaving: true})];
  assert.equal(
    chooseRole(election, members, listReadLongAgo, 1_000).kind,
    'claim',
  );
});

test('a fenced holder without peers waits before it claims with a higher token', () => {
  const election = createFollower('b', 10);
  election.recordFenced(1_000);
  assert.equal(chooseRole(election, [], listReadLongAgo, 9_000).kind, 'wait');
  const role = chooseRole(election, [], listReadLongAgo, 11_100);
  assert.equal(role.kind, 'claim');
  assert.ok(role.kind === 'claim' && role.skip > 0);
});

test('tokens increase even when the clock goes back, and differ between processes', () => {
  const first = createToken(0, 5, Date.UTC(2026, 0, 1), 0);
  const later = createToken(first, 7, Date.UTC(2025, 0, 1), 0);
  const same = createToken(0, 6, Date.UTC(2026, 0, 1), 0);
  assert.ok(later > first);
  assert.notEqual(same, first);
  assert.ok(Number.isSafeInteger(createToken(later, 1, Date.now(), 1_000)));
});

test('the reachable instance with the most processors takes over, whatever its id', () => {
  const members = [
    createMember('a', {heardAt: 1_000}),
    createMember('c', {heardAt: 1_990, processors: 2}),
  ];
  const role = chooseRole(
    createFollower('a', 10),
    members,
    listReadLongAgo,
    2_000,
  );
  assert.deepEqual(role, {kind: 'wait'});
  const strong = new Election({id: 'c', processors: 2}, 0);
  strong.recordClaim({holderId: 'a', token: 10});
  const others = [
    createMember('a', {heardAt: 1_000}),
    createMember('b', {heardAt: 1_990}),
  ];
  assert.equal(
    chooseRole(strong, others, listReadLongAgo, 2_000).kind,
    'claim',
  );
});

test('a weak holder is replaced only by an instance with more than twice its processors', () => {
  const roles = [0.3, 0.8].map(processors => {
    const strong = new Election({id: 'c', processors: 1.35}, 0);
    strong.recordClaim({holderId: 'a', token: 10});
    const holder = createMember('a', {heardAt: 1_990, processors});
    return chooseRole(strong, [holder], listReadLongAgo, 2_000).kind;
  });
  assert.deepEqual(roles, ['claim', 'follow']);
});

test('an instance does not claim right after it first read the list of instances', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  const state = {isLeaving: false, registrationsKnownSince: 100};
  assert.equal(chooseRole(election, [], state, 1_500).kind, 'wait');
  assert.equal(chooseRole(election, [], state, 1_700).kind, 'claim');
});

test('a refused connection does not rule out instances that are not listed yet', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  const state = {isLeaving: false, registrationsKnownSince: 100};
  const members = [createMember('c', {isRefused: true})];
  assert.equal(chooseRole(election, members, state, 1_500).kind, 'wait');
  assert.equal(chooseRole(election, members, state, 1_700).kind, 'claim');
});

test('an instance without listed peers knows when it will claim', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  const state = {isLeaving: false, registrationsKnownSince: 50};
  const claimAt = election.findExpectedClaim([], state, 100);
  assert.equal(claimAt, 1_550);
  assert.equal(chooseRole(election, [], state, claimAt - 1).kind, 'wait');
  assert.equal(chooseRole(election, [], state, claimAt).kind, 'claim');
});

test('an instance with listed peers does not know when the zone has a holder', () => {
  const election = new Election({id: 'a', processors: 1}, 0);
  const state = {isLeaving: false, registrationsKnownSince: 50};
  const members = [createMember('b')];
  assert.equal(election.findExpectedClaim(members, state, 100), undefined);
});
