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
import {Links} from '../src/instance/links.js';
import {News} from '../src/instance/attention.js';
import {createOpenLink} from '../src/instance/start_instance.js';
import {
  createZoneRouter,
  zoneMethods,
  type ZoneHandlers,
  type ZoneHeartbeat,
} from '../src/protocol/index.js';
import {fail} from './fixtures/scene.js';
import {createHeartbeat} from './fixtures/view.js';

const LOOK_MS = 10;
const PATIENCE_MS = 10_000;
const urgent = {news: News.Urgent, isClose: true};
const room = {service: 'pricing', vacancies: []};

async function waitFor(what: string, check: () => boolean): Promise<void> {
  const until = Date.now() + PATIENCE_MS;
  while (!check()) {
    if (Date.now() > until) throw new Error(`never: ${what}`);
    await sleep(LOOK_MS);
  }
}

/** An instance that keeps what it is told. */
class Peer {
  readonly heard: ZoneHeartbeat[] = [];
  /** Who has asked for a sign of life. */
  readonly pings: string[] = [];
  isSilent = false;
  address = '';

  async start(lifecycle: Lifecycle): Promise<void> {
    const handlers: ZoneHandlers = {
      heartbeat: message => this.answer(message),
      submit: fail,
      cancel: fail,
      readConfiguration: fail,
      lend: fail,
      recall: fail,
      listLent: fail,
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
    this.heard.push(message);
    if (this.isSilent) return new Promise(() => undefined);
    return Promise.resolve(createHeartbeat());
  }
}

interface Scene {
  readonly links: Links;
  readonly peers: readonly Peer[];
  /** One entry for each heartbeat that was made: whether for other zones. */
  readonly made: readonly boolean[];
  readonly answers: readonly ZoneHeartbeat[];
}

/** Plays a test on links to three peers, the last of another zone. */
async function withLinks(play: (scene: Scene) => Promise<void>) {
  const lifecycle = new Lifecycle('test');
  const peers = [new Peer(), new Peer(), new Peer()];
  for (const peer of peers) await peer.start(lifecycle);
  const made: boolean[] = [];
  const answers: ZoneHeartbeat[] = [];
  const logs = new Logs('test', LogLevel.Silent);
  const links = new Links({
    openLink: createOpenLink({id: 'a-1', logs}),
    lifecycle,
    createHeartbeat: (_now, isForeign) => {
      made.push(isForeign);
      return createHeartbeat(isForeign ? {rooms: [room]} : {});
    },
    onAnswer: message => answers.push(message),
    onRefused: () => undefined,
  });
  const addresses = peers.map(({address}) => address);
  const own = addresses.slice(0, 2);
  links.setNeighbours(
    own.map(address => ({address, attention: urgent})),
    addresses.slice(2),
  );
  try {
    const isLinked = (address: string) => links.find(address) !== undefined;
    await waitFor('links', () => addresses.every(isLinked));
    await play({links, peers, made, answers});
  } finally {
    await lifecycle.close();
  }
}

test('one beat reaches every neighbour, with one heartbeat for each kind', async () => {
  await withLinks(async ({links, peers, made, answers}) => {
    links.beat(0);
    assert.deepEqual(made, [false, true]);
    await waitFor('answers', () => answers.length === peers.length);
    const heard = peers.map(peer => peer.heard.length);
    assert.deepEqual(heard, [1, 1, 1]);
  });
});

test('only instances of other zones are told of free room', async () => {
  await withLinks(async ({links, peers, answers}) => {
    links.beat(0);
    await waitFor('answers', () => answers.length === peers.length);
    const rooms = peers.map(({heard}) => heard[0]?.rooms);
    assert.deepEqual(rooms, [undefined, undefined, [room]]);
  });
});

test('a neighbour that has not answered is not asked again, the others are', async () => {
  await withLinks(async ({links, peers, answers}) => {
    const [silent] = peers;
    assert.ok(silent);
    silent.isSilent = true;
    links.beat(0);
    await waitFor('answers', () => answers.length === peers.length - 1);
    links.beat(350);
    await waitFor('answers', () => answers.length === 2 * (peers.length - 1));
    assert.deepEqual(
      peers.map(({heard}) => heard.length),
      [1, 2, 2],
    );
  });
});

test('a neighbour that did not answer is asked again after a time', async () => {
  await withLinks(async ({links, peers}) => {
    const [silent] = peers;
    assert.ok(silent);
    silent.isSilent = true;
    let now = 0;
    await waitFor('a second heartbeat', () => {
      links.beat((now += 150));
      return silent.heard.length === 2;
    });
  });
});

test('a heartbeat leaves only when it is time for one', async () => {
  await withLinks(async ({links, peers, made, answers}) => {
    links.beat(0);
    await waitFor('answers', () => answers.length === peers.length);
    links.beat(50);
    links.beat(100);
    assert.equal(made.length, 2);
    links.beat(150);
    assert.deepEqual(made.slice(2), [false]);
    await waitFor('answers', () => answers.length === 2 * peers.length - 1);
    links.beat(350);
    assert.deepEqual(made.slice(3), [false, true]);
  });
});

test('what is urgent is told at once', async () => {
  await withLinks(async ({links, peers, made, answers}) => {
    links.beat(0);
    await waitFor('answers', () => answers.length === peers.length);
    links.beat(50, {isUrgent: true});
    assert.equal(made.length, 4);
  });
});

test('who is watched closely is asked for a sign of life between heartbeats', async () => {
  await withLinks(async ({links, peers, answers}) => {
    const attentions = [
      {news: News.Rare, isClose: true},
      {news: News.Rare, isClose: false},
    ];
    const own = attentions.map((attention, index) => ({
      address: peers[index]?.address ?? '',
      attention,
    }));
    links.setNeighbours(own, []);
    links.beat(0);
    await waitFor('answers', () => answers.length === own.length);
    const heardFirst = [...links.answered()][0]?.at ?? 0;
    links.beat(150);
    const [close, other] = peers;
    await waitFor('a sign of life', () => close?.pings.length === 1);
    await waitFor('its answer', () => {
      const [first] = links.answered();
      return first !== undefined && first.at > heardFirst;
    });
    assert.deepEqual(close?.pings, ['a-1']);
    assert.deepEqual(other?.pings, []);
    assert.deepEqual([close?.heard.length, other?.heard.length], [1, 1]);
  });
});

test('an answer tells of nobody before a heartbeat was answered', async () => {
  await withLinks(async ({links, peers, answers}) => {
    assert.deepEqual([...links.answered()], []);
    links.beat(0);
    await waitFor('answers', () => answers.length === peers.length);
    assert.equal([...links.answered()].length, peers.length);
  });
});

test('who owes an answer to a heartbeat is still asked for a sign of life', async () => {
  const lifecycle = new Lifecycle('test');
  const sent: string[] = [];
  const links = new Links({
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
      isRefused: () => false,
      close: () => Promise.resolve(),
    }),
    lifecycle,
    createHeartbeat: () => createHeartbeat(),
    onAnswer: fail,
    onRefused: fail,
  });
  links.setNeighbours([{address: 'b:1', attention: urgent}], []);
  for (const now of [0, 150, 300]) links.beat(now);
  await lifecycle.close();
  assert.deepEqual(sent, ['heartbeat', 'ping', 'ping']);
});
