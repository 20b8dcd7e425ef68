/** Fixtures that run several instances with real sockets in one process. */
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
  type HeartbeatPayload,
  type InstanceState,
  type ListedInstance,
  type Membership,
  type MembershipOptions,
  type MembershipTiming,
  type HeartbeatSettings,
} from '../src/index.js';

const TOKEN = 'test token';
/** Timeout of `waitFor`, long enough for a busy machine. */
const TIMEOUT_MS = 30_000;

/** Short timing for tests, with a margin for a busy machine. */
export const shortTiming: MembershipTiming = {
  ...defaultMembershipTiming,
  heartbeat: {
    intervalMs: 50,
    bytesPerSecond: 1_000_000,
    missedIntervalsToSuspect: 4,
    minTimeoutMs: 600,
  },
  delistConfirmMs: 200,
};

/** Settings of an instance that a test starts. */
export interface InstanceSettings {
  readonly lifecycle: Lifecycle;
  readonly name: string;
  readonly zone?: string;
  readonly port?: number;
  readonly seeds?: readonly string[];
  /** The advertised address, when it differs from the listener's. */
  readonly advertisedAddress?: string;
  readonly heartbeat?: Partial<HeartbeatSettings>;
  readonly payload?: Partial<HeartbeatPayload>;
  readonly overrides?: Partial<MembershipOptions>;
}

/** A running instance that a test started. */
export interface RunningInstance {
  readonly membership: Membership;
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
  /** Publishes one response of the instance list. */
  readonly publishList: (entries: readonly ListedInstance[]) => void;
  readonly stop: () => Promise<void>;
}

/** Starts one instance: its peer listener and its membership. */
export async function startInstance(
  settings: InstanceSettings,
): Promise<RunningInstance> {
  const {name, zone = 'east', port = 0, seeds = []} = settings;
  const lifecycle = settings.lifecycle.createChild(name);
  const nonce = randomBytes(6).toString('hex');
  const incarnation = `${zone}.${name}.${nonce}`;
  const started: {membership?: Membership} = {};
  const server = (
    await startPeerServer({
      listen: {host: '127.0.0.1', port},
      token: TOKEN,
      handlers: createHandlers(() => started.membership),
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
      peerAddress: settings.advertisedAddress ?? address,
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
    payload: {
      settingsRevision: () => 0,
      spare: () => [],
      grantsInUse: () => [],
      ...settings.payload,
    },
    lifecycle,
    logger: silentLogger,
    clock: readClock,
    timing: {
      ...shortTiming,
      heartbeat: {...shortTiming.heartbeat, ...settings.heartbeat},
    },
    ...settings.overrides,
  });
  started.membership = membership;
  return {
    membership,
    incarnation,
    address,
    port: server.port,
    publishList: entries => list.publish(entries),
    stop: async () => {
      await lifecycle.close();
    },
  };
}

/**
 * Starts instances `a` and `b`, and waits until `a` sees that `b` is live.
 * `heartbeat` are the settings of `a`.
 */
export async function startTwoInstances(
  context: TestContext,
  heartbeat: Partial<HeartbeatSettings> = {},
) {
  const lifecycle = createLifecycle(context);
  const a = await startInstance({lifecycle, name: 'a', heartbeat});
  const seeds = [a.address];
  const b = await startInstance({lifecycle, name: 'b', seeds});
  await waitFor('b to be live', () => liveMembersSeenBy(a) === 'east/a east/b');
  return {lifecycle, a, b, seeds};
}

/** Waits until `condition` holds; throws after `TIMEOUT_MS`. */
export async function waitFor(
  description: string,
  condition: () => boolean,
): Promise<void> {
  const end = Date.now() + TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > end)
      throw new Error(`timed out waiting for ${description}`);
    await sleep(10);
  }
}

function createHandlers(find: () => Membership | undefined): PeerHandlers {
  const reject = () =>
    Promise.reject(new Error('not supported by the test fixture'));
  return {
    heartbeat: message => {
      const membership = find();
      if (membership === undefined) return reject();
      return Promise.resolve(membership.answerHeartbeat(message, readClock()));
    },
    submit: reject,
    read: reject,
    cancel: reject,
    endSession: reject,
    handOver: reject,
    readSettings: reject,
    demand: reject,
    settle: reject,
    offer: reject,
    inspect: reject,
  };
}

/** Creates a lifecycle that closes after the test and must not fail to. */
export function createLifecycle(context: TestContext): Lifecycle {
  const lifecycle = new Lifecycle('test');
  context.after(async () => {
    assert.deepEqual(await lifecycle.close(), []);
  });
  return lifecycle;
}

/** The live members of all zones, as one sorted line of `zone/name`. */
export function liveMembersSeenBy({membership}: RunningInstance): string {
  return membership
    .zones()
    .flatMap(zone => membership.members(zone))
    .map(member => `${member.zone}/${member.instance}`)
    .sort()
    .join(' ');
}

/** The state of one instance in the view of another. */
export function stateSeenBy(
  {membership}: RunningInstance,
  incarnation: string,
): InstanceState | undefined {
  return membership
    .instances()
    .find(({member}) => member.incarnation === incarnation)?.state;
}
