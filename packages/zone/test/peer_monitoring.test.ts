import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  HeartbeatRate,
  findHeartbeatInterval,
  PING_INTERVAL_MS,
  type PeerMonitoring,
  type MonitoringContext,
} from '../src/instance/peer_monitoring.js';
import {ZoneView} from '../src/instance/zone_view.js';
import {createHeartbeat, registerInstances} from './fixtures/zone_members.js';

/** Creates the view of a weak instance whose peers are three strong ones. */
function createFollower(): ZoneView {
  const self = {id: 'z', processors: 0.2};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  registerInstances(view, [2, 2, 2]);
  return view;
}

const following: MonitoringContext = {
  holderId: 'b-0',
  isHolderUncertain: false,
  hasJobs: false,
  isHolder: false,
};

/** Receives a heartbeat from each of the three strong instances. */
function receiveHeartbeats(view: ZoneView, now: number): void {
  for (const index of [0, 1, 2]) {
    const address = `10.0.1.${index}:7000`;
    view.recordHeartbeat(createHeartbeat({id: `b-${index}`, address}), now);
  }
}

function listMonitoring(
  view: ZoneView,
  context: MonitoringContext,
  now: number,
): PeerMonitoring[] {
  const {links} = view.chooseLinks(context, now);
  return links.map(({monitoring}) => monitoring);
}

test('the heartbeat rate of a peer depends on its role and on the state of this instance', () => {
  const urgent = {
    heartbeatRate: HeartbeatRate.Urgent,
    isCloselyMonitored: true,
  };
  const regular = {
    heartbeatRate: HeartbeatRate.Regular,
    isCloselyMonitored: false,
  };
  const rare = {heartbeatRate: HeartbeatRate.Rare, isCloselyMonitored: false};
  const closeRare = {
    heartbeatRate: HeartbeatRate.Rare,
    isCloselyMonitored: true,
  };
  const view = createFollower();
  const busy = {...following, hasJobs: true};
  const holderUncertain = {...following, isHolderUncertain: true};
  const holding = {...following, holderId: 'z', isHolder: true};
  const list = (context: MonitoringContext) => listMonitoring(view, context, 0);
  assert.deepEqual(list(following), [regular, rare, rare]);
  const closeRegular = {...regular, isCloselyMonitored: true};
  assert.deepEqual(list(busy), [closeRegular, rare, rare]);
  assert.deepEqual(list(holderUncertain), [urgent, urgent, urgent]);
  assert.deepEqual(list(holding), [closeRare, closeRare, closeRare]);
});

test('a candidate monitors the holder and the other candidates closely', () => {
  const self = {id: 'z', processors: 2};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  registerInstances(view, [2, 2, 0.2, 0.2]);
  const {links, isCandidate} = view.chooseLinks(following, 0);
  assert.equal(isCandidate, true);
  assert.deepEqual(
    links.map(({monitoring}) => monitoring.isCloselyMonitored),
    [true, true],
  );
});

test('the silence timeout of a peer depends on its heartbeat rate', () => {
  const view = createFollower();
  view.chooseLinks(following, 0);
  receiveHeartbeats(view, 0);
  const listResponsive = (now: number) =>
    view
      .listMembers(now)
      .flatMap(({id, isResponsive}) => (isResponsive ? [id] : []));
  assert.deepEqual(listResponsive(790), ['b-0', 'b-1', 'b-2']);
  assert.deepEqual(listResponsive(810), ['b-1', 'b-2']);
  assert.deepEqual(listResponsive(1_470), []);
});

test('the shorter silence timeout starts when close monitoring of the holder starts', () => {
  const view = createFollower();
  view.chooseLinks(following, 0);
  receiveHeartbeats(view, 0);
  const busy = {...following, hasJobs: true};
  view.chooseLinks(busy, 700);
  const isResponsive = (now: number) => view.listMembers(now)[0]?.isResponsive;
  assert.equal(isResponsive(1_290), true);
  assert.equal(isResponsive(1_310), false);
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
  view.recordRefusal('10.0.1.0:7000', 10);
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
    registerInstances(view, shares);
    const isHolder = at === 0;
    const {links} = view.chooseLinks({...following, isHolder}, 0);
    for (const {monitoring} of links) {
      messages += 1_000 / findHeartbeatInterval(monitoring.heartbeatRate);
      if (monitoring.isCloselyMonitored) messages += 1_000 / PING_INTERVAL_MS;
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
