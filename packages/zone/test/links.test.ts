import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startCallServer} from '@goldcrestpier/peers';
import {
  Lifecycle,
  Logs,
  LogLevel,
  silentLogger,
  sleep,
} from '@goldcrestpier/runtime';
import {PeerLinks} from '../src/instance/links.js';
import {HeartbeatRate} from '../src/instance/peer_monitoring.js';
import {createOpenLink} from '../src/instance/start_instance.js';
import {
  createZoneRouter,
  zoneMethods,
  type ZoneHandlers,
  type ZoneHeartbeat,
} from '../src/protocol/index.js';
import {failOnCall} from './fixtures/dispatcher.js';
import {createHeartbeat} from './fixtures/zone_members.js';

const POLL_INTERVAL_MS = 10;
const WAIT_TIMEOUT_MS = 10_000;
const urgent = {heartbeatRate: HeartbeatRate.Urgent, isCloselyMonitored: true};
const freeCapacity = {service: 'pricing', vacancies: []};

async function waitFor(condition: string, check: () => boolean): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  while (!check()) {
    if (Date.now() > deadline)
      throw new Error(`timed out waiting for ${condition}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/** An instance that records the messages that it receives. */
class FakePeer {
  readonly received: ZoneHeartbeat[] = [];
  /** Ids of the instances that sent a ping. */
  readonly pings: string[] = [];
  isSilent = false;
  address = '';

  async start(lifecycle: Lifecycle): Promise<void> {
    const handlers: ZoneHandlers = {
      heartbeat: message => this.answer(message),
      submit: failOnCall,
      cancel: failOnCall,
      inquire: failOnCall,
      readConfiguration: failOnCall,
      runDelegatedTask: failOnCall,
      recall: failOnCall,
      listDelegatedTasks: failOnCall,
    };
    const started = await startCallServer({
      listen: {host: '127.0.0.1', port: 0},
      token: 'zone',
      router: createZoneRouter(handlers),
      methods: zoneMethods,
      onPing: id => this.pings.push(id),
      logger: silentLogger,
      lifecycle,
      limits: {drainMs: 0},
    });
    const {host, port} = started.unwrap();
    this.address = `${host}:${port}`;
  }

  private answer(message: ZoneHeartbeat): Promise<ZoneHeartbeat> {
    this.received.push(message);
    if (this.isSilent) return new Promise(() => undefined);
    return Promise.resolve(createHeartbeat());
  }
}

interface LinksFixture {
  readonly links: PeerLinks;
  readonly peers: readonly FakePeer[];
  /** One entry for each heartbeat created: whether it is for other zones. */
  readonly createdForOtherZone: readonly boolean[];
  readonly answers: readonly ZoneHeartbeat[];
}

/** Runs a test with links to three peers, the last of them in another zone. */
async function withLinks(run: (fixture: LinksFixture) => Promise<void>) {
  const lifecycle = new Lifecycle('test');
  const peers = [new FakePeer(), new FakePeer(), new FakePeer()];
  for (const peer of peers) await peer.start(lifecycle);
  const createdForOtherZone: boolean[] = [];
  const answers: ZoneHeartbeat[] = [];
  const logs = new Logs('test', LogLevel.Silent);
  const links = new PeerLinks({
    openLink: createOpenLink({id: 'a-1', logs}),
    lifecycle,
    createHeartbeat: (_now, isInOtherZone) => {
      createdForOtherZone.push(isInOtherZone);
      return createHeartbeat(isInOtherZone ? {rooms: [freeCapacity]} : {});
    },
    onAnswer: message => answers.push(message),
    onRefused: () => undefined,
  });
  const addresses = peers.map(({address}) => address);
  const sameZoneAddresses = addresses.slice(0, 2);
  links.setPeers(
    sameZoneAddresses.map(address => ({address, monitoring: urgent})),
    addresses.slice(2),
  );
  try {
    const isLinked = (address: string) => links.find(address) !== undefined;
    await waitFor('links', () => addresses.every(isLinked));
    await run({links, peers, createdForOtherZone, answers});
  } finally {
    await lifecycle.close();
  }
}

test('all peers of the zone get the same heartbeat, and peers in other zones another one', async () => {
  await withLinks(async ({links, peers, createdForOtherZone, answers}) => {
    links.sendHeartbeats(0);
    assert.deepEqual(createdForOtherZone, [false, true]);
    await waitFor('answers', () => answers.length === peers.length);
    const heard = peers.map(peer => peer.received.length);
    assert.deepEqual(heard, [1, 1, 1]);
  });
});

test('free capacity is reported only to instances of other zones', async () => {
  await withLinks(async ({links, peers, answers}) => {
    links.sendHeartbeats(0);
    await waitFor('answers', () => answers.length === peers.length);
    const rooms = peers.map(({received: heard}) => heard[0]?.rooms);
    assert.deepEqual(rooms, [undefined, undefined, [freeCapacity]]);
  });
});

test('a peer with an unanswered heartbeat gets no second one; the others do', async () => {
  await withLinks(async ({links, peers, answers}) => {
    const [silent] = peers;
    assert.ok(silent);
    silent.isSilent = true;
    links.sendHeartbeats(0);
    await waitFor('answers', () => answers.length === peers.length - 1);
    links.sendHeartbeats(350);
    await waitFor('answers', () => answers.length === 2 * (peers.length - 1));
    assert.deepEqual(
      peers.map(({received: heard}) => heard.length),
      [1, 2, 2],
    );
  });
});

test('a peer gets another heartbeat after the unanswered one has timed out', async () => {
  await withLinks(async ({links, peers}) => {
    const [silent] = peers;
    assert.ok(silent);
    silent.isSilent = true;
    let now = 0;
    await waitFor('a second heartbeat', () => {
      links.sendHeartbeats((now += 150));
      return silent.received.length === 2;
    });
  });
});

test('a heartbeat is sent only when its interval has passed', async () => {
  await withLinks(async ({links, peers, createdForOtherZone, answers}) => {
    links.sendHeartbeats(0);
    await waitFor('answers', () => answers.length === peers.length);
    links.sendHeartbeats(50);
    links.sendHeartbeats(100);
    assert.equal(createdForOtherZone.length, 2);
    links.sendHeartbeats(150);
    assert.deepEqual(createdForOtherZone.slice(2), [false]);
    await waitFor('answers', () => answers.length === 2 * peers.length - 1);
    links.sendHeartbeats(350);
    assert.deepEqual(createdForOtherZone.slice(3), [false, true]);
  });
});

test('an urgent heartbeat is sent at once', async () => {
  await withLinks(async ({links, peers, createdForOtherZone, answers}) => {
    links.sendHeartbeats(0);
    await waitFor('answers', () => answers.length === peers.length);
    links.sendHeartbeats(50, {isUrgent: true});
    assert.equal(createdForOtherZone.length, 4);
  });
});

test('a closely monitored peer is pinged between heartbeats', async () => {
  await withLinks(async ({links, peers, answers}) => {
    const monitorings = [
      {heartbeatRate: HeartbeatRate.Rare, isCloselyMonitored: true},
      {heartbeatRate: HeartbeatRate.Rare, isCloselyMonitored: false},
    ];
    const own = monitorings.map((monitoring, index) => ({
      address: peers[index]?.address ?? '',
      monitoring,
    }));
    links.setPeers(own, []);
    links.sendHeartbeats(0);
    await waitFor('answers', () => answers.length === own.length);
    const firstAnswerAt = [...links.listAnswers()][0]?.at ?? 0;
    links.sendHeartbeats(150);
    const [close, other] = peers;
    await waitFor('a ping', () => close?.pings.length === 1);
    await waitFor('the answer to the ping', () => {
      const [first] = links.listAnswers();
      return first !== undefined && first.at > firstAnswerAt;
    });
    assert.deepEqual(close?.pings, ['a-1']);
    assert.deepEqual(other?.pings, []);
    assert.deepEqual([close?.received.length, other?.received.length], [1, 1]);
  });
});

test('a peer is listed as answering only after it answered a heartbeat', async () => {
  await withLinks(async ({links, peers, answers}) => {
    assert.deepEqual([...links.listAnswers()], []);
    links.sendHeartbeats(0);
    await waitFor('answers', () => answers.length === peers.length);
    assert.equal([...links.listAnswers()].length, peers.length);
  });
});

test('a peer with an unanswered heartbeat is still pinged', async () => {
  const lifecycle = new Lifecycle('test');
  const sent: string[] = [];
  const links = new PeerLinks({
    openLink: address => ({
      address,
      call: name => {
        sent.push(name);
        return new Promise(() => undefined);
      },
      ping: () => sent.push('ping'),
      isConnected: () => true,
      connectedAt: () => 0,
      heardAt: () => undefined,
      refusedAt: () => undefined,
      close: () => Promise.resolve(),
    }),
    lifecycle,
    createHeartbeat: () => createHeartbeat(),
    onAnswer: failOnCall,
    onRefused: failOnCall,
  });
  links.setPeers([{address: 'b:1', monitoring: urgent}], []);
  for (const now of [0, 150, 300]) links.sendHeartbeats(now);
  await lifecycle.close();
  assert.deepEqual(sent, ['heartbeat', 'ping', 'ping']);
});
