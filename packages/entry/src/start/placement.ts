/** Joins placement to members, servers, settings and metrics. */
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
import {Holders} from './holders.js';
import type {Platform} from './platform.js';

const CALL_TIMEOUT_MS = 2_000;
const RUNNER_POOL_PREFIX = 'runner/';
const SEEN_STATES: ReadonlySet<InstanceState> = new Set([
  InstanceState.Live,
  InstanceState.Leaving,
]);

/** What happens to tasks, told to their owner. */
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
    view: createView(platform, membership),
    peers: createPeers(membership),
    runners: createRunnerClient({lifecycle}),
    workers: createWorkerClient({lifecycle}),
    counters: createCounters(metrics),
    logger: logs.forPart(LogPart.Placement),
    lifecycle,
    ...events,
  });
}

/** The settings in force for one pool. */
export function settingsOfPool(
  {current}: SettingsFollower,
  pool: string,
): EffectiveSettings {
  if (!pool.startsWith(RUNNER_POOL_PREFIX)) return current.forWorkers();
  const service = pool.slice(RUNNER_POOL_PREFIX.length);
  return current.forService(service) ?? current.forRoot() ?? defaultSettings;
}

function createView(
  {list, follower}: Platform,
  membership: Membership,
): PlacementView {
  const holders = new Holders(membership);
  const settingsOf = (pool: string) => settingsOfPool(follower, pool);
  return {
    get self() {
      return membership.self();
    },
    members: () => listSeen(membership),
    servers: () => list.current.servers,
    holderOf: server =>
      holders.find(server, settingsOf(server.pool).placement.shards),
    settingsOf,
  };
}

/**
 * All instances that answer. Those that are leaving, too: they have tasks that
 * wait, and a holder forgets the demand of an instance that is not seen.
 */
function listSeen(membership: Membership): readonly Member[] {
  const others = membership
    .instances()
    .filter(({state}) => SEEN_STATES.has(state))
    .map(({member}) => member);
  return [membership.self(), ...others];
}

function createPeers(membership: Membership): PlacementPeers {
  const ask = async <Answer>(
    peer: string,
    call: (link: PeerLink) => PeerAnswer<Answer>,
  ): Promise<Answer> => {
    const link = membership.findLink(peer);
    if (link === undefined) throw new PeerCallFailure(peer);
    const answer = await call(link);
    if (answer.isErr()) throw new PeerCallFailure(peer);
    return answer.value;
  };
  return {
    demand: (holder, message) =>
      ask(holder, link => link.demand(message, CALL_TIMEOUT_MS)),
    settle: (holder, message) =>
      ask(holder, link => link.settle(message, CALL_TIMEOUT_MS)),
    offer: (owner, message) =>
      ask(owner, link => link.offer(message, CALL_TIMEOUT_MS)),
  };
}

/** A call to a peer failed; placement takes it as lost. */
class PeerCallFailure extends Error {
  constructor(readonly peer: string) {
    super(`the call to ${peer} failed`);
  }
}

function createCounters(metrics: Metrics): PlacementCounters {
  return {
    // The owner counts refusals of whole jobs by the same code.
    refused: () => undefined,
    retried: reason => metrics.countRetry(reason),
    ejected: reason => metrics.countEjection(reason),
    sent: (kind, messages) => metrics.countMessage(kind, messages),
    wasted: (kind, messages) => metrics.countWasted(kind, messages),
  };
}
