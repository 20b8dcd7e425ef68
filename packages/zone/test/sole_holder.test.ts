import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Election, SILENCE_MS} from '../src/election/index.js';
import {ZoneView} from '../src/instance/zone_view.js';
import {createHeartbeat, registerInstances} from './fixtures/zone_members.js';

const asHolder = {
  holderId: 'a-1',
  isHolderUncertain: false,
  hasJobs: false,
  isHolder: true,
};

/** The view of a holder with links to this many peers. */
function createView(peerCount: number): ZoneView {
  const self = {id: 'a-1', processors: 1};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  registerInstances(
    view,
    Array.from({length: peerCount}, () => 1),
  );
  view.chooseLinks(asHolder, 0);
  return view;
}

test('a holder without peers needs no proof that it is the only one', () => {
  assert.equal(createView(0).findProofEnd(), Infinity);
});

test('a holder is the only one until a peer may have missed it for its time of silence', () => {
  const view = createView(2);
  view.recordFollower('b-0', 1_000);
  view.recordFollower('b-1', 1_400);
  assert.equal(view.findProofEnd(), 1_000 + SILENCE_MS);
  view.recordFollower('b-0', 1_500);
  assert.equal(view.findProofEnd(), 1_400 + SILENCE_MS);
});

test('messages that a holder hears do not show that its peers hear it', () => {
  const view = createView(1);
  view.recordFollower('b-0', 1_000);
  const heartbeat = createHeartbeat({id: 'b-0', address: '10.0.1.0:7000'});
  view.recordHeartbeat(heartbeat, 3_000);
  view.recordContact('b-0', 3_100);
  view.recordAnswer('10.0.1.0:7000', 3_200);
  assert.equal(view.findProofEnd(), 1_000 + SILENCE_MS);
});

// Guards against a cut that refuses connections to a peer that claims the zone.
test('a peer that refuses connections may be the holder as long as it is registered', () => {
  const view = createView(1);
  view.recordFollower('b-0', 1_000);
  view.recordRefusal('10.0.1.0:7000', 2_000);
  assert.equal(view.findProofEnd(), 1_000);
  view.setRegistrations([], 5_000);
  assert.equal(view.findProofEnd(), Infinity);
});

test('a refused peer that claims the zone at once leaves the holder without a proof', () => {
  const view = createView(1);
  view.recordFollower('b-0', 1_000);
  view.recordRefusal('10.0.1.0:7000', 1_010);
  const peer = new Election({id: 'b-0', processors: 1}, -10_000);
  peer.recordClaim({holderId: 'a-1', token: 1});
  const refusedHolder = {
    id: 'a-1',
    processors: 1,
    isConnecting: false,
    isLeaving: false,
    heardAt: 1_000,
    isResponsive: true,
    isRefused: true,
    holderId: 'a-1',
    holderHeardAt: undefined,
  };
  const state = {isLeaving: false, registrationsKnownSince: -10_000};
  assert.equal(peer.chooseRole([refusedHolder], state, 1_010).kind, 'claim');
  assert.ok(view.findProofEnd() <= 1_010, `${view.findProofEnd()}`);
});

test('a peer that becomes known by the list of instances may have claimed the zone before', () => {
  const view = createView(1);
  view.recordFollower('b-0', 1_000);
  const next = {id: 'c-0', zone: 'west', address: '10.0.1.0:7000'};
  view.setRegistrations([{...next, processors: 1}], 4_000);
  view.chooseLinks(asHolder, 4_000);
  assert.ok(view.findProofEnd() <= 4_000, `${view.findProofEnd()}`);
});
