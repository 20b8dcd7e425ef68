import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemberState, type Member} from '@goldcrestpier/peers';
import fc from 'fast-check';
import {
  Successors,
  InstanceState,
  ListedState,
  View,
  type ListedInstance,
  type ViewTiming,
} from '../src/index.js';

const SEED = 20_261_203;
const timing: ViewTiming = {
  delistConfirmMs: 1_000,
  listLagMs: 10_000,
  retentionMs: 100_000,
  heartbeatTimeout: () => 500,
};

function createMember(instance: string, nonce = '000000000001'): Member {
  return {
    incarnation: `east.${instance}.${nonce}`,
    zone: 'east',
    instance,
    peerAddress: `10.0.0.1:${instance.charCodeAt(0)}`,
    state: MemberState.Live,
    weight: 1,
  };
}

function listEntries(...members: Member[]): ListedInstance[] {
  return members.map(({instance, zone, peerAddress}) => ({
    name: instance,
    zone,
    state: ListedState.Live,
    peerAddress,
  }));
}

const self = createMember('s');
const a = createMember('a');
const b = createMember('b');

test('one incomplete list response removes no instance', () => {
  const view = new View(self, timing);
  view.recordHeartbeat(a, 0);
  view.applyInstanceList(listEntries(a, b), 0);
  view.applyInstanceList([], 5_000);
  assert.equal(view.isGone(a.incarnation, 6_000), false);
  view.applyInstanceList(listEntries(a, b), 7_000);
  view.applyInstanceList([], 8_000);
  assert.equal(view.isGone(a.incarnation, 20_000), false);
  view.applyInstanceList([], 9_500);
  assert.equal(view.isGone(a.incarnation, 9_500), true);
});

test('a list that lacks the reading instance never makes a silent instance gone', () => {
  const view = new View(self, timing);
  view.recordHeartbeat(a, 0);
  for (let now = 0; now < 90_000; now += 1_000)
    view.applyInstanceList(listEntries(b), now);
  assert.equal(view.isGone(a.incarnation, 90_000), false);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Suspect);
});

test('a responding instance is not gone even when the list removes it', () => {
  const view = new View(self, timing);
  view.applyInstanceList(listEntries(a), 0);
  view.recordHeartbeat(a, 0);
  view.applyInstanceList(listEntries(a), 0);
  for (let now = 400; now < 20_000; now += 400) {
    view.recordHeartbeat(a, now);
    view.applyInstanceList([], now);
    assert.equal(view.isGone(a.incarnation, now), false);
  }
});

test('a newer incarnation that appears while the older one drains is not marked gone', () => {
  const view = new View(self, timing);
  const newer = createMember('a', '000000000002');
  const ack = {address: a.peerAddress, connectedAt: 10, sentAt: 100};
  view.recordHeartbeat(a, 20, {...ack, sentAt: 20});
  view.recordHeartbeat(newer, 90);
  view.recordHeartbeat(a, 110, ack);
  assert.equal(view.isGone(newer.incarnation, 120), false);
  const next = {address: a.peerAddress, connectedAt: 200, sentAt: 210};
  view.recordHeartbeat(newer, 220, next);
  assert.equal(view.isGone(a.incarnation, 230), true);
  assert.equal(view.isGone(newer.incarnation, 230), false);
  assert.equal(view.recordHeartbeat(a, 240), false);
});

test('an incarnation that started earlier never marks a later one gone', () => {
  const view = new View(self, timing);
  const older = {...a, startedAt: 1_000};
  const later = {
    ...createMember('a', '000000000002'),
    peerAddress: '10.0.0.9:1',
    startedAt: 2_000,
  };
  view.recordHeartbeat(later, 0);
  const ack = {
    address: older.peerAddress,
    connectedAt: 1_500,
    sentAt: 1_600,
  };
  view.recordHeartbeat(older, 1_700, ack);
  assert.equal(view.isGone(later.incarnation, 1_700), false);
  view.recordHeartbeat(older, 9_000, {...ack, sentAt: 8_900});
  assert.equal(view.isGone(later.incarnation, 9_000), false);
});

test('an instance whose host refuses connections is suspect at once, not gone', () => {
  const view = new View(self, timing);
  view.recordHeartbeat(a, 0);
  view.recordConnectionRefused(a.peerAddress, 10);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Suspect);
  assert.equal(view.isGone(a.incarnation, 90_000), false);
  view.recordHeartbeat(a, 20);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Live);
});

test('heartbeat timeouts restart after this process was paused', () => {
  const view = new View(self, timing);
  view.recordHeartbeat(a, 0);
  view.recordResume(60_000);
  view.updateStates(60_100);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Live);
  view.updateStates(60_600);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Suspect);
});

test('the member list of a zone is reused until a member of the zone changes', () => {
  const view = new View(self, timing);
  view.recordHeartbeat(a, 0);
  const members = view.members('east');
  view.recordHeartbeat(a, 100);
  view.recordHeartbeat({...b, zone: 'west', incarnation: 'west.b.1'}, 100);
  assert.equal(view.members('east'), members);
  view.recordHeartbeat(b, 100);
  assert.notEqual(view.members('east'), members);
});

const unknown = createMember('u').incarnation;

test('an incarnation never seen here is gone when the list lacks it for longer than its lag', () => {
  const view = new View(self, timing);
  const entries = listEntries(self, a);
  view.applyInstanceList(entries, 0);
  assert.equal(view.isGone(unknown, 5_000), false);
  view.applyInstanceList(entries, 6_000);
  view.applyInstanceList(entries, 15_999);
  assert.equal(view.isGone(unknown, 90_000), false);
  view.applyInstanceList(entries, 16_000);
  assert.equal(view.isGone(unknown, 16_000), true);
});

test('a silent instance that was never listed is gone after the lag of the list', () => {
  const view = new View(self, timing);
  view.recordHeartbeat(a, 0);
  assert.equal(view.isGone(a.incarnation, 400), false);
  view.applyInstanceList(listEntries(self, b), 5_000);
  assert.equal(view.isGone(a.incarnation, 5_000), false);
  view.applyInstanceList(listEntries(self, b), 6_000);
  view.applyInstanceList(listEntries(self, b), 15_000);
  assert.equal(view.isGone(a.incarnation, 15_000), false);
  view.applyInstanceList(listEntries(self, b), 16_000);
  assert.equal(view.isGone(a.incarnation, 16_000), true);
  view.recordHeartbeat(a, 17_000);
  assert.equal(view.isGone(a.incarnation, 17_000), false);
});

test('a list proves nothing about an incarnation that it contains, or if it lacks the zone or the reader', () => {
  const westIncarnation = 'west.u.000000000001';
  for (const [queried, entries] of [
    [unknown, listEntries(self, a, createMember('u'))],
    [unknown, listEntries(a, b)],
    [westIncarnation, listEntries(self, a)],
  ] as const) {
    const view = new View(self, timing);
    assert.equal(view.isGone(queried, 0), false);
    for (let now = 0; now < 90_000; now += 1_000) {
      view.applyInstanceList(entries, now);
      assert.equal(view.isGone(queried, now), false);
    }
  }
});

test('an unknown incarnation that reappears in the list is not gone', () => {
  const view = new View(self, timing);
  view.isGone(unknown, 0);
  view.applyInstanceList(listEntries(self), 0);
  view.applyInstanceList(listEntries(self, createMember('u')), 9_000);
  view.applyInstanceList(listEntries(self), 12_000);
  view.applyInstanceList(listEntries(self), 21_000);
  assert.equal(view.isGone(unknown, 21_000), false);
});

test('no sequence of timeouts and complete lists makes an instance gone', () => {
  const step = fc.record({
    waitMs: fc.nat(3_000),
    senders: fc.subarray([a, b]),
    listed: fc.constantFrom(listEntries(a, b), listEntries(b, a), undefined),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 40}), steps => {
      const view = new View(self, timing);
      let now = 0;
      for (const {waitMs, senders, listed} of steps) {
        now += waitMs;
        for (const member of senders) view.recordHeartbeat(member, now);
        if (listed !== undefined) view.applyInstanceList(listed, now);
        view.updateStates(now);
        for (const {incarnation} of [a, b]) {
          assert.equal(view.isGone(incarnation, now), false);
        }
      }
    }),
    {seed: SEED, numRuns: 300},
  );
});

test('chains of successors are resolved, and entries expire', () => {
  const successors = new Successors();
  successors.record(
    [
      {incarnation: 'a', successor: 'b'},
      {incarnation: 'b', successor: 'c', ageMs: 5},
    ],
    1_000,
  );
  successors.record([{incarnation: 'a', successor: 'x'}], 1_001);
  assert.equal(successors.find('a', 2_000), 'c');
  assert.equal(successors.find('c', 2_000), undefined);
  assert.deepEqual(successors.list(false, 2_000), [
    {incarnation: 'b', successor: 'c', ageMs: 1_005},
    {incarnation: 'a', successor: 'b', ageMs: 1_000},
  ]);
  assert.deepEqual(successors.list(false, 100_000), []);
  assert.equal(successors.list(true, 100_000).length, 2);
  assert.equal(successors.find('a', 1_000_000_000), undefined);
});

test('resolving a cycle of successors terminates', () => {
  const successors = new Successors();
  const ring = ['a', 'b', 'c'].map((incarnation, index, all) => ({
    incarnation,
    successor: all[(index + 1) % all.length] ?? '',
  }));
  successors.record(ring, 0);
  assert.notEqual(successors.find('a', 1), undefined);
});
