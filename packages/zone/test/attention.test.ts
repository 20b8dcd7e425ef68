import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  HeartbeatRate,
  findHeartbeatInterval,
  PING_INTERVAL_MS,
  type Attention,
  type AttentionContext,
} from '../src/instance/attention.js';
import {ZoneView} from '../src/instance/zone_view.js';
import {createHeartbeat, register} from './fixtures/zone_members.js';

/** Creates the view of a weak instance whose neighbours are three strong ones. */
function createFollower(): ZoneView {
  const self = {id: 'z', processors: 0.2};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  register(view, [2, 2, 2]);
  return view;
}

const following: AttentionContext = {
  holderId: 'b-0',
  isUnsettled: false,
  hasJobs: false,
  isHolder: false,
};

/** Receives a heartbeat from each of the three strong instances. */
function receiveHeartbeats(view: ZoneView, now: number): void {
  for (const index of [0, 1, 2]) {
    const address = `10.0.1.${index}:7000`;
    view.noteHeartbeat(createHeartbeat({id: `b-${index}`, address}), now);
  }
}

function listAttentions(
  view: ZoneView,
  situation: AttentionContext,
  now: number,
): Attention[] {
  const {links} = view.chooseLinks(situation, now);
  return links.map(({attention}) => attention);
}

test('the heartbeat rate for a neighbour depends on its role and on the situation', () => {
  const urgent = {news: HeartbeatRate.Urgent, isClose: true};
  const regular = {news: HeartbeatRate.Regular, isClose: false};
  const rare = {news: HeartbeatRate.Rare, isClose: false};
  const watchedRare = {news: HeartbeatRate.Rare, isClose: true};
  const view = createFollower();
  const busy = {...following, hasJobs: true};
  const unsettled = {...following, isUnsettled: true};
  const holding = {...following, holderId: 'z', isHolder: true};
  const list = (situation: AttentionContext) =>
    listAttentions(view, situation, 0);
  assert.deepEqual(list(following), [regular, rare, rare]);
  const watchedRegular = {...regular, isClose: true};
  assert.deepEqual(list(busy), [watchedRegular, rare, rare]);
  assert.deepEqual(list(unsettled), [urgent, urgent, urgent]);
  assert.deepEqual(list(holding), [watchedRare, watchedRare, watchedRare]);
});

test('a candidate monitors the holder and the other candidates closely', () => {
  const self = {id: 'z', processors: 2};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  register(view, [2, 2, 0.2, 0.2]);
  const {links, isCandidate} = view.chooseLinks(following, 0);
  assert.equal(isCandidate, true);
  assert.deepEqual(
    links.map(({attention}) => attention.isClose),
    [true, true],
  );
});

test('the silence timeout depends on how often a neighbour gets heartbeats', () => {
  const view = createFollower();
  view.chooseLinks(following, 0);
  receiveHeartbeats(view, 0);
  const listHeard = (now: number) =>
    view.listMembers(now).flatMap(({id, isHeard}) => (isHeard ? [id] : []));
  assert.deepEqual(listHeard(790), ['b-0', 'b-1', 'b-2']);
  assert.deepEqual(listHeard(810), ['b-1', 'b-2']);
  assert.deepEqual(listHeard(1_470), []);
});

test('the shorter silence timeout starts when close monitoring of the holder starts', () => {
  const view = createFollower();
  view.chooseLinks(following, 0);
  receiveHeartbeats(view, 0);
  const busy = {...following, hasJobs: true};
  view.chooseLinks(busy, 700);
  const isHeard = (now: number) => view.listMembers(now)[0]?.isHeard;
  assert.equal(isHeard(1_290), true);
  assert.equal(isHeard(1_310), false);
});

test('a closely monitored holder is suspected before it is considered lost', () => {
  const view = createFollower();
  view.chooseLinks({...following, hasJobs: true}, 0);
  receiveHeartbeats(view, 0);
  assert.equal(view.isSuspected('b-0', 290), false);
  assert.equal(view.isSuspected('b-0', 300), true);
  view.chooseLinks(following, 350);
  assert.equal(view.isSuspected('b-0', 350), false);
});

test('a holder whose host refuses connections is suspected and not reported as heard', () => {
  const view = createFollower();
  view.chooseLinks({...following, hasJobs: true}, 0);
  receiveHeartbeats(view, 0);
  assert.equal(view.findSilence('b-0', 20), 20);
  view.noteRefused('10.0.1.0:7000');
  assert.equal(view.isSuspected('b-0', 20), true);
  assert.equal(view.findSilence('b-0', 20), undefined);
});

/** Counts the heartbeats and pings per second in an idle zone of `size` instances. */
function countMessages(size: number): number {
  const shares = Array.from({length: size}, (_, at) => (at < 3 ? 2 : 0.2));
  let messages = 0;
  for (const [at, processors] of shares.entries()) {
    const self = {id: `b-${at}`, processors};
    const view = new ZoneView('west', `10.0.1.${at}:7000`, self);
    register(view, shares);
    const isHolder = at === 0;
    const {links} = view.chooseLinks({...following, isHolder}, 0);
    for (const {attention} of links) {
      messages += 1_000 / findHeartbeatInterval(attention.news);
      if (attention.isClose) messages += 1_000 / PING_INTERVAL_MS;
    }
  }
  return messages;
}

test('the message rate of an idle zone grows linearly with its instances', () => {
  const smallZone = countMessages(20);
  const largeZone = countMessages(40);
  const perInstance = (largeZone - smallZone) / 20;
  assert.ok(
    perInstance < 5,
    `${perInstance} messages per second for each additional instance`,
  );
  assert.ok(largeZone < 2 * smallZone);
});
