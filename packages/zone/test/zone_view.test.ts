import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Election, SILENCE_MS} from '../src/election/index.js';
import {InboundConnections} from '../src/instance/inbound_connections.js';
import {OtherZones} from '../src/instance/other_zones.js';
import type {MonitoringContext} from '../src/instance/peer_monitoring.js';
import {ZoneView} from '../src/instance/zone_view.js';
import {createHeartbeat, registerInstances} from './fixtures/zone_members.js';

const holderUncertain: MonitoringContext = {
  holderId: undefined,
  isHolderUncertain: true,
  hasJobs: false,
  isHolder: false,
};

/** Lists the addresses that links are kept to. */
function listLinks(view: ZoneView, now: number, holderId?: string): string[] {
  const {links} = view.chooseLinks({...holderUncertain, holderId}, now);
  return links.map(({address}) => address);
}

test('a new instance at an address replaces the state of the old one', () => {
  const view = new ZoneView('west', '10.0.0.1:7000', {
    id: 'a-1',
    processors: 1,
  });
  view.recordHeartbeat(createHeartbeat(), 100);
  assert.equal(view.isAlive('b-1', 150), true);
  view.recordHeartbeat(createHeartbeat({id: 'b-2'}), 200);
  assert.equal(view.isAlive('b-1', 210), false);
  assert.equal(view.isAlive('b-2', 210), true);
  assert.equal(view.findAddress('b-2'), '10.0.0.2:7000');
});

test('no link is kept to an instance of another zone', () => {
  const view = new ZoneView('west', '10.0.0.1:7000', {
    id: 'a-1',
    processors: 1,
  });
  view.addAddress('10.0.0.2:7000');
  view.recordHeartbeat(createHeartbeat({zone: 'east'}), 100);
  assert.deepEqual(listLinks(view, 100), []);
});

test('an old registration does not hide an instance that sends heartbeats', () => {
  const view = new ZoneView('west', '10.0.0.1:7000', {
    id: 'a-1',
    processors: 1,
  });
  view.recordHeartbeat(createHeartbeat({id: 'b-2'}), 100);
  const outdated = {
    id: 'b-1',
    zone: 'west',
    address: '10.0.0.2:7000',
    processors: 1,
  };
  view.setRegistrations([outdated], 200);
  assert.equal(view.isAlive('b-2', 200), true);
});

test('an instance that is neither registered nor heard is removed after 10 s', () => {
  const view = new ZoneView('west', '10.0.0.1:7000', {
    id: 'a-1',
    processors: 1,
  });
  view.recordHeartbeat(createHeartbeat(), 100);
  view.setRegistrations([], 5_000);
  assert.equal(listLinks(view, 0).length, 1);
  view.setRegistrations([], 10_200);
  assert.equal(listLinks(view, 0).length, 0);
});

test('the holder of another zone is the one with the highest token', () => {
  const zones = new OtherZones('west');
  const east = {
    zone: 'east',
    processors: 1,
    id: 'e-1',
    address: '10.1.0.1:7000',
  };
  zones.setRegistrations(
    [
      {...east, holderToken: 5},
      {...east, id: 'e-2', address: '10.1.0.2:7000', holderToken: 7},
    ],
    0,
  );
  assert.equal(zones.findAddress('east'), '10.1.0.2:7000');
  const claim = {holderId: 'e-1', token: 9};
  zones.recordHeartbeat(createHeartbeat({...east, claim}), 100);
  assert.equal(zones.findAddress('east'), '10.1.0.1:7000');
  assert.equal(zones.isAlive('east', 1_000), true);
  assert.equal(zones.isAlive('east', 1_200), false);
});

test('a new holder of another zone has a second to reattach to tasks that its zone delegated', () => {
  const zones = new OtherZones('west');
  const east = {
    zone: 'east',
    processors: 1,
    id: 'e-1',
    address: '10.1.0.1:7000',
  };
  const receiveClaim = (token: number, now: number) => {
    zones.recordHeartbeat(
      createHeartbeat({...east, claim: {holderId: 'e-1', token}}),
      now,
    );
  };
  receiveClaim(5, 0);
  assert.equal(zones.isTaskWanted('east', 5, 100), true);
  receiveClaim(9, 200);
  assert.equal(zones.isTaskWanted('east', 5, 900), true);
  receiveClaim(9, 1_300);
  assert.equal(zones.isTaskWanted('east', 5, 1_300), false);
  assert.equal(zones.isTaskWanted('east', 9, 1_300), true);
  assert.equal(zones.isTaskWanted('east', 9, 2_400), false);
});

test('links are kept only to the strongest instances and to the holder', () => {
  const view = new ZoneView('west', '10.0.0.1:7000', {id: 'a', processors: 1});
  registerInstances(view, [0.2, 0.8, 2, 0.2, 2, 0.2]);
  assert.deepEqual(listLinks(view, 0), ['10.0.1.2:7000', '10.0.1.4:7000']);
  assert.deepEqual(listLinks(view, 0, 'b-3'), [
    '10.0.1.2:7000',
    '10.0.1.4:7000',
    '10.0.1.3:7000',
  ]);
});

test('when the strongest instances are silent, the next ones are linked as well', () => {
  const self = {id: 'z', processors: 0.2};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  registerInstances(view, [2, 2, 2, 1, 0.8, 0.5]);
  assert.equal(listLinks(view, 0).length, 3);
  assert.equal(view.chooseLinks(holderUncertain, 0).isCandidate, false);
  assert.equal(listLinks(view, 500).length, 3);
  assert.equal(listLinks(view, 600).length, 6);
  view.recordHeartbeat(
    createHeartbeat({id: 'b-0', address: '10.0.1.0:7000'}),
    700,
  );
  assert.equal(listLinks(view, 700).length, 5);
});

test('an instance does not claim while a link to a stronger one is still being opened', () => {
  const self = {id: 'z', processors: 0.2};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  const election = new Election(self, -10_000);
  registerInstances(view, [2]);
  const state = {isLeaving: false, registrationsKnownSince: 0};
  view.chooseLinks(holderUncertain, 0);
  const early = election.chooseRole(view.listMembers(100), state, 100);
  assert.equal(early.kind, 'wait');
  view.recordRefusal('10.0.1.0:7000', 105);
  const late = election.chooseRole(view.listMembers(110), state, 110);
  assert.equal(late.kind, 'claim');
});

test('an owner that submitted a job counts as alive before its first heartbeat', () => {
  const self = {id: 'a', processors: 1};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  assert.equal(view.isAlive('b-1', 100), false);
  view.recordContact('b-1', 100);
  assert.equal(view.isAlive('b-1', 150), true);
  assert.equal(view.isAlive('b-1', 700), false);
});

test('an owner whose host refuses connections counts as lost at once', () => {
  const view = new ZoneView('west', '10.0.0.1:7000', {id: 'a', processors: 1});
  registerInstances(view, [1]);
  const [other] = listLinks(view, 0);
  assert.ok(other);
  const [{id} = {id: ''}] = [...view.listMembers(0)];
  view.recordContact(id, 100);
  assert.equal(view.isAlive(id, 110), true);
  view.recordRefusal(other, 115);
  assert.equal(view.isAlive(id, 120), false);
});

test('an owner whose own connection is open does not count as lost when connections to it are refused', () => {
  const connections = new InboundConnections();
  const self = {id: 'a', processors: 1};
  const view = new ZoneView('west', '10.0.0.1:7000', self, connections);
  connections.recordOpened('b-1');
  const {address, id} = createHeartbeat();
  view.recordHeartbeat(createHeartbeat(), 100);
  view.recordRefusal(address, 115);
  assert.equal(view.isAlive(id, 120), true);
  assert.equal(view.isSuspected(id, 120), false);
  connections.recordClosed(id);
  view.recordRefusal(address, 125);
  assert.equal(view.isAlive(id, 130), false);
});

test('an instance that is silent on its open connection counts as lost', () => {
  const connections = new InboundConnections();
  const self = {id: 'a', processors: 1};
  const view = new ZoneView('west', '10.0.0.1:7000', self, connections);
  connections.recordOpened('b-1');
  const {address, id} = createHeartbeat();
  view.recordHeartbeat(createHeartbeat(), 100);
  view.recordRefusal(address, 115);
  assert.equal(view.isAlive(id, 100 + SILENCE_MS), false);
});

const registration = {
  id: 'b-2',
  zone: 'west',
  address: '10.0.0.2:7000',
  processors: 1,
};

/** Creates a view that has heard `b-1`, which then left and was refused. */
function createViewOfRestart(): ZoneView {
  const view = new ZoneView('west', '10.0.0.1:7000', {id: 'a', processors: 1});
  const {address} = registration;
  view.recordHeartbeat(createHeartbeat({isLeaving: true}), 100);
  view.recordRefusal(address, 200);
  return view;
}

test('an owner that has exited counts as alive for 600 ms at most when its submission is read late', () => {
  const self = {id: 'a-1', processors: 1};
  const view = new ZoneView('west', '10.0.0.1:7000', self);
  view.recordHeartbeat(createHeartbeat(), 100);
  view.recordRefusal('10.0.0.2:7000', 150);
  view.recordContact('b-1', 700);
  assert.equal(view.isAlive('b-1', 1_299), true);
  assert.equal(view.isAlive('b-1', 1_300), false);
  view.recordContact('b-1', 1_400);
  view.recordRefusal('10.0.0.2:7000', 1_410);
  assert.equal(view.isAlive('b-1', 1_410), false);
});

test('an instance does not count as lost because its predecessor at the address was refused', () => {
  const view = createViewOfRestart();
  const {id, address} = registration;
  assert.equal(view.isAlive('b-1', 210), false);
  view.recordContact(id, 1_700);
  view.setRegistrations([registration], 1_750);
  // The link repeats its last refused attempt until the next one.
  view.recordRefusal(address, 1_700);
  assert.equal(view.isAlive(id, 1_760), true);
  view.recordRefusal(address, 1_770);
  assert.equal(view.isAlive(id, 1_780), false);
});

test('an instance that was heard after a refused attempt does not count as lost', () => {
  const view = createViewOfRestart();
  const {id, address} = registration;
  view.setRegistrations([registration], 1_750);
  view.recordRefusal(address, 1_760);
  view.recordContact(id, 1_770);
  view.recordRefusal(address, 1_760);
  assert.equal(view.isAlive(id, 1_780), true);
});

test('an instance does not count as leaving because its predecessor at the address was', () => {
  const view = createViewOfRestart();
  view.setRegistrations([registration], 1_750);
  view.recordContact(registration.id, 1_760);
  view.chooseLinks(holderUncertain, 1_760);
  const [member] = view.listMembers(1_760);
  assert.equal(member?.id, registration.id);
  assert.equal(member.isLeaving, false);
  assert.equal(member.isResponsive, false);
  assert.equal(member.isConnecting, true);
});

test('a registration that is out of date does not bring back an instance that was replaced', () => {
  const view = createViewOfRestart();
  const {id, address} = registration;
  view.recordHeartbeat(createHeartbeat({id}), 1_000);
  const outdated = {...registration, id: 'b-1'};
  view.setRegistrations([registration, outdated], 3_000);
  assert.equal(view.findAddress(id), address);
  view.recordHeartbeat(createHeartbeat({id: 'b-1'}), 3_100);
  assert.equal(view.findAddress(id), address);
});

test('an instance in contact is found although the entry of its predecessor has not expired', () => {
  const view = createViewOfRestart();
  const {id, address} = registration;
  const outdated = {...registration, id: 'b-1'};
  view.recordContact(id, 1_700);
  view.setRegistrations([registration, outdated], 1_750);
  assert.equal(view.findAddress(id), address);
});
