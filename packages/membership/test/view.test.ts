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
  dropConfirmMs: 1_000,
  listLagMs: 10_000,
  forgetMs: 100_000,
  patience: () => 500,
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

function list(...members: Member[]): ListedInstance[] {
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

test('one short answer of the list drops nobody', () => {
  const view = new View(self, timing);
  view.hear(a, 0);
  view.readList(list(a, b), 0);
  view.readList([], 5_000);
  assert.equal(view.isGone(a.incarnation, 6_000), false);
  view.readList(list(a, b), 7_000);
  view.readList([], 8_000);
  assert.equal(view.isGone(a.incarnation, 20_000), false);
  view.readList([], 9_500);
  assert.equal(view.isGone(a.incarnation, 9_500), true);
});

test('an instance is not gone by a list without its reader, however long it is silent', () => {
  const view = new View(self, timing);
  view.hear(a, 0);
  for (let now = 0; now < 90_000; now += 1_000) view.readList(list(b), now);
  assert.equal(view.isGone(a.incarnation, 90_000), false);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Suspect);
});

test('an instance that answers is not gone whatever the list says', () => {
  const view = new View(self, timing);
  view.readList(list(a), 0);
  view.hear(a, 0);
  view.readList(list(a), 0);
  for (let now = 400; now < 20_000; now += 400) {
    view.hear(a, now);
    view.readList([], now);
    assert.equal(view.isGone(a.incarnation, now), false);
  }
});

test('a newer run that is first heard while the older drains is left alone', () => {
  const view = new View(self, timing);
  const newer = createMember('a', '000000000002');
  const evidence = {address: a.peerAddress, connectedAt: 10, sentAt: 100};
  view.hear(a, 20, {...evidence, sentAt: 20});
  view.hear(newer, 90);
  view.hear(a, 110, evidence);
  assert.equal(view.isGone(newer.incarnation, 120), false);
  const next = {address: a.peerAddress, connectedAt: 200, sentAt: 210};
  view.hear(newer, 220, next);
  assert.equal(view.isGone(a.incarnation, 230), true);
  assert.equal(view.isGone(newer.incarnation, 230), false);
  assert.equal(view.hear(a, 240), false);
});

test('an earlier start never ends a later one', () => {
  const view = new View(self, timing);
  const older = {...a, startedAt: 1_000};
  const later = {
    ...createMember('a', '000000000002'),
    peerAddress: '10.0.0.9:1',
    startedAt: 2_000,
  };
  view.hear(later, 0);
  const evidence = {
    address: older.peerAddress,
    connectedAt: 1_500,
    sentAt: 1_600,
  };
  view.hear(older, 1_700, evidence);
  assert.equal(view.isGone(later.incarnation, 1_700), false);
  view.hear(older, 9_000, {...evidence, sentAt: 8_900});
  assert.equal(view.isGone(later.incarnation, 9_000), false);
});

test('an instance whose host refuses connections is suspect at once, not gone', () => {
  const view = new View(self, timing);
  view.hear(a, 0);
  view.noteRefused(a.peerAddress, 10);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Suspect);
  assert.equal(view.isGone(a.incarnation, 90_000), false);
  view.hear(a, 20);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Live);
});

test('silence starts anew after this process was stopped', () => {
  const view = new View(self, timing);
  view.hear(a, 0);
  view.noteResumed(60_000);
  view.judge(60_100);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Live);
  view.judge(60_600);
  assert.equal(view.find(a.incarnation)?.state, InstanceState.Suspect);
});

test('the members of a zone stay the same list until one of that zone changes', () => {
  const view = new View(self, timing);
  view.hear(a, 0);
  const members = view.members('east');
  view.hear(a, 100);
  view.hear({...b, zone: 'west', incarnation: 'west.b.1'}, 100);
  assert.equal(view.members('east'), members);
  view.hear(b, 100);
  assert.notEqual(view.members('east'), members);
});

const unknown = createMember('u').incarnation;

test('a run that nobody here ever heard is gone when the list goes on without it for longer than it lags', () => {
  const view = new View(self, timing);
  const lists = list(self, a);
  view.readList(lists, 0);
  assert.equal(view.isGone(unknown, 5_000), false);
  view.readList(lists, 6_000);
  view.readList(lists, 15_999);
  assert.equal(view.isGone(unknown, 90_000), false);
  view.readList(lists, 16_000);
  assert.equal(view.isGone(unknown, 16_000), true);
});

test('a silent instance that the list never showed is gone like an unknown one', () => {
  const view = new View(self, timing);
  view.hear(a, 0);
  assert.equal(view.isGone(a.incarnation, 400), false);
  view.readList(list(self, b), 5_000);
  assert.equal(view.isGone(a.incarnation, 5_000), false);
  view.readList(list(self, b), 6_000);
  view.readList(list(self, b), 15_000);
  assert.equal(view.isGone(a.incarnation, 15_000), false);
  view.readList(list(self, b), 16_000);
  assert.equal(view.isGone(a.incarnation, 16_000), true);
  view.hear(a, 17_000);
  assert.equal(view.isGone(a.incarnation, 17_000), false);
});

test('a list proves nothing about an unknown run that it shows, or whose zone or reader it leaves out', () => {
  const inWest = 'west.u.000000000001';
  for (const [asked, entries] of [
    [unknown, list(self, a, createMember('u'))],
    [unknown, list(a, b)],
    [inWest, list(self, a)],
  ] as const) {
    const view = new View(self, timing);
    assert.equal(view.isGone(asked, 0), false);
    for (let now = 0; now < 90_000; now += 1_000) {
      view.readList(entries, now);
      assert.equal(view.isGone(asked, now), false);
    }
  }
});

test('an unknown run that the list shows again in between is not gone', () => {
  const view = new View(self, timing);
  view.isGone(unknown, 0);
  view.readList(list(self), 0);
  view.readList(list(self, createMember('u')), 9_000);
  view.readList(list(self), 12_000);
  view.readList(list(self), 21_000);
  assert.equal(view.isGone(unknown, 21_000), false);
});

test('no sequence of silence and lists without a drop makes an instance gone', () => {
  const step = fc.record({
    waitMs: fc.nat(3_000),
    heard: fc.subarray([a, b]),
    listed: fc.constantFrom(list(a, b), list(b, a), undefined),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 40}), steps => {
      const view = new View(self, timing);
      let now = 0;
      for (const {waitMs, heard, listed} of steps) {
        now += waitMs;
        for (const member of heard) view.hear(member, now);
        if (listed !== undefined) view.readList(listed, now);
        view.judge(now);
        for (const {incarnation} of [a, b]) {
          assert.equal(view.isGone(incarnation, now), false);
        }
      }
    }),
    {seed: SEED, numRuns: 300},
  );
});

test('successors are followed through several departures, and forgotten in time', () => {
  const successors = new Successors();
  successors.note(
    [
      {incarnation: 'a', successor: 'b'},
      {incarnation: 'b', successor: 'c', ageMs: 5},
    ],
    1_000,
  );
  successors.note([{incarnation: 'a', successor: 'x'}], 1_001);
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

test('a ring of successors ends', () => {
  const successors = new Successors();
  const ring = ['a', 'b', 'c'].map((incarnation, index, all) => ({
    incarnation,
    successor: all[(index + 1) % all.length] ?? '',
  }));
  successors.note(ring, 0);
  assert.notEqual(successors.find('a', 1), undefined);
});
