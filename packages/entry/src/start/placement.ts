/** Connects placement to members, backend servers, settings and metrics. */
import {createRunnerClient, createWorkerClient} from '@goldcrestpier/backends';
import {InstanceState, type Membership} from '@goldcrestpier/membership';
import type {Member, PeerAnswer, PeerLink} from '@goldcrestpier/peers';
import {
  createPlacement,
  type Placement,
  type PlacementCounters,
  type PlacementPeers,
  type PlacementView,
} from '@goldcrestpier/placement';
import type {PlacementTask, TaskOutcome} from '@goldcrestpier/protocol';
import {LogPart} from '@goldcrestpier/runtime';
import {
  defaultSettings,
  type EffectiveSettings,
  type SettingsFollower,
} from '@goldcrestpier/settings';
import type {Metrics} from '../metrics/index.js';
import type {Context} from './context.js';
import {HolderSelector} from './holder_selector.js';
import type {Platform} from './platform.js';

const CALL_TIMEOUT_MS = 2_000;
const RUNNER_POOL_PREFIX = 'runner/';
const RESPONDING_STATES: ReadonlySet<InstanceState> = new Set([
  InstanceState.Live,
  InstanceState.Leaving,
]);

/** Callbacks that tell the owner of a task about its start and end. */
export interface TaskEvents {
  readonly onStart: (task: PlacementTask) => void;
  readonly onEnd: (task: PlacementTask, outcome: TaskOutcome) => void;
}

/** Creates the placement of one entry instance. */
export function openPlacement(
  context: Context,
  platform: Platform,
  membership: Membership,
  events: TaskEvents,
): Placement {
  const {lifecycle, logs, metrics} = context;
  return createPlacement({
    view: createPlacementView(platform, membership),
    peers: createPlacementPeers(membership),
    runners: createRunnerClient({lifecycle}),
    workers: createWorkerClient({lifecycle}),
    counters: createPlacementCounters(metrics),
    logger: logs.forPart(LogPart.Placement),
    lifecycle,
    ...events,
  });
}

/**
 * Returns the settings in force for a pool. A service without a node of its own
 * has the settings of the root.
 */
export function getPoolSettings(
  {current}: SettingsFollower,
  pool: string,
): EffectiveSettings {
  if (!pool.startsWith(RUNNER_POOL_PREFIX)) return current.forWorkers();
  const service = pool.slice(RUNNER_POOL_PREFIX.length);
  return current.forService(service) ?? current.forRoot() ?? defaultSettings;
}

function createPlacementView(
  {instanceList, settingsFollower}: Platform,
  membership: Membership,
): PlacementView {
  const holders = new HolderSelector(membership);
  const settingsOf = (pool: string) => getPoolSettings(settingsFollower, pool);
  return {
    get self() {
      return membership.self();
    },
    members: () => listRespondingMembers(membership),
    servers: () => instanceList.current.servers,
    holderOf: server =>
      holders.selectHolder(server, settingsOf(server.pool).placement.shards),
    settingsOf,
  };
}

/**
 * Lists this instance and all peers that respond. Leaving peers are included,
 * because they still have waiting tasks and a holder drops the demand of an
 * instance that is not listed.
 */
function listRespondingMembers(membership: Membership): readonly Member[] {
  const others = membership
    .instances()
    .filter(({state}) => RESPONDING_STATES.has(state))
    .map(({member}) => member);
  return [membership.self(), ...others];
}

function createPlacementPeers(membership: Membership): PlacementPeers {
  const callPeer = async <Answer>(
    peer: string,
    call: (link: PeerLink) => PeerAnswer<Answer>,
  ): Promise<Answer> => {
    const link = membership.findLink(peer);
    if (link === undefined) throw new PeerCallError(peer);
    const answer = await call(link);
    if (answer.isErr()) throw new PeerCallError(peer);
    return answer.value;
  };
  return {
    demand: (holder, message) =>
      callPeer(holder, link => link.demand(message, CALL_TIMEOUT_MS)),
    settle: (holder, message) =>
      callPeer(holder, link => link.settle(message, CALL_TIMEOUT_MS)),
    offer: (owner, message) =>
      callPeer(owner, link => link.offer(message, CALL_TIMEOUT_MS)),
  };
}

/** A call to a peer failed. Placement treats the message as lost. */
class PeerCallError extends Error {
  constructor(readonly peer: string) {
    super(`call to peer ${peer} failed`);
  }
}

function createPlacementCounters(metrics: Metrics): PlacementCounters {
  return {
    // `JobOwner` counts refused jobs by the same failure code already.
    refused: () => undefined,
    retried: reason => metrics.countRetry(reason),
    ejected: reason => metrics.countEjection(reason),
    sent: (kind, messages) => metrics.countMessages(kind, messages),
    wasted: (kind, messages) => metrics.countWastedMessages(kind, messages),
  };
}
