/** Instances that speak to each other over real sockets in one process. */
import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import type {TestContext} from 'node:test';
import {
  Lifecycle,
  readClock,
  silentLogger,
  sleep,
  createTopic,
} from '@goldcrestpier/runtime';
import {
  createPeerLink,
  startPeerServer,
  type PeerHandlers,
} from '@goldcrestpier/peers';
import {
  createMembership,
  defaultMembershipTiming,
  type HeartbeatLoad,
  type InstanceState,
  type ListedInstance,
  type Membership,
  type MembershipOptions,
  type MembershipTiming,
  type PaceSettings,
} from '../src/index.js';

const TOKEN = 'a token of the tests';
/** Long enough for a busy machine. */
const TIMEOUT_MS = 30_000;

/** Short times, with room for a busy machine. */
export const quickTiming: MembershipTiming = {
  ...defaultMembershipTiming,
  pace: {
    intervalMs: 50,
    bytesPerSecond: 1_000_000,
    missesToSuspect: 4,
    minSilenceMs: 600,
  },
  dropConfirmMs: 200,
};

/** What an instance of the tests is started with. */
export interface InstanceSettings {
  readonly lifecycle: Lifecycle;
  readonly name: string;
  readonly zone?: string;
  readonly port?: number;
  readonly seeds?: readonly string[];
  /** The address it gives for itself, where that is not its own. */
  readonly advertised?: string;
  readonly pace?: Partial<PaceSettings>;
  readonly load?: Partial<HeartbeatLoad>;
  readonly changes?: Partial<MembershipOptions>;
}

/** A running instance of the tests. */
export interface RunningInstance {
  readonly membership: Membership;
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
  /** Publishes one answer of the instance list. */
  readonly showList: (entries: readonly ListedInstance[]) => void;
  readonly stop: () => Promise<void>;
}

/** Starts one instance: its peers' listener and its membership. */
export async function startInstance(
  settings: InstanceSettings,
): Promise<RunningInstance> {
  const {name, zone = 'east', port = 0, seeds = []} = settings;
  const lifecycle = settings.lifecycle.createChild(name);
  const nonce = randomBytes(6).toString('hex');
  const incarnation = `${zone}.${name}.${nonce}`;
  const found: {membership?: Membership} = {};
  const server = (
    await startPeerServer({
      listen: {host: '127.0.0.1', port},
      token: TOKEN,
      handlers: createHandlers(() => found.membership),
      logger: silentLogger,
      lifecycle,
      limits: {drainMs: 50},
    })
  ).unwrap();
  const address = `127.0.0.1:${server.port}`;
  const list = createTopic<readonly ListedInstance[]>();
  const membership = createMembership({
    self: {
      incarnation,
      zone,
      instance: name,
      peerAddress: settings.advertised ?? address,
      weight: 1,
      startedAt: Date.now(),
    },
    seeds,
    list: list.stream,
    createLink: peerAddress =>
      createPeerLink({
        address: peerAddress,
        token: TOKEN,
        self: incarnation,
        logger: silentLogger,
        lifecycle,
        limits: {silenceMs: 800, connectMs: 800},
      }),
    load: {
      settingsRevision: () => 0,
      spare: () => [],
      grantsInUse: () => [],
      ...settings.load,
    },
    lifecycle,
    logger: silentLogger,
    clock: readClock,
    timing: {...quickTiming, pace: {...quickTiming.pace, ...settings.pace}},
    ...settings.changes,
  });
  found.membership = membership;
  return {
    membership,
    incarnation,
    address,
    port: server.port,
    showList: entries => list.publish(entries),
    stop: async () => {
      await lifecycle.close();
    },
  };
}

/** Waits until `condition` holds; fails after a generous time. */
export async function waitFor(
  what: string,
  condition: () => boolean,
): Promise<void> {
  const end = Date.now() + TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > end) throw new Error(`waited in vain: ${what}`);
    await sleep(10);
  }
}

function createHandlers(find: () => Membership | undefined): PeerHandlers {
  const refuse = () => Promise.reject(new Error('not of these tests'));
  return {
    heartbeat: message => {
      const membership = find();
      if (membership === undefined) return refuse();
      return Promise.resolve(membership.answerHeartbeat(message, readClock()));
    },
    submit: refuse,
    read: refuse,
    cancel: refuse,
    endSession: refuse,
    handOver: refuse,
    readSettings: refuse,
    demand: refuse,
    settle: refuse,
    offer: refuse,
    inspect: refuse,
  };
}

/** A life cycle that closes with the test, and must close cleanly. */
export function createLifecycle(context: TestContext): Lifecycle {
  const lifecycle = new Lifecycle('test');
  context.after(async () => {
    assert.deepEqual(await lifecycle.close(), []);
  });
  return lifecycle;
}

/** The live members of all zones in one line. */
export function namesSeenBy({membership}: RunningInstance): string {
  return membership
    .zones()
    .flatMap(zone => membership.members(zone))
    .map(member => `${member.zone}/${member.instance}`)
    .sort()
    .join(' ');
}

/** The state of one instance as another sees it. */
export function stateSeenBy(
  {membership}: RunningInstance,
  incarnation: string,
): InstanceState | undefined {
  return membership
    .instances()
    .find(({member}) => member.incarnation === incarnation)?.state;
}
