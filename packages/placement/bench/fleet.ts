/** Entry instances and simulated runners of one trial, in a single process. */
import {
  StartKind,
  type RunnerClient,
  type StartOutcome,
  type WorkerClient,
} from '@goldcrestpier/backends';
import {MemberState, type Member} from '@goldcrestpier/peers';
import type {PlacementTask, TaskOutcome} from '@goldcrestpier/protocol';
import {
  readClock,
  silentLogger,
  sleep,
  type Lifecycle,
} from '@goldcrestpier/runtime';
import {defaultSettings, type PolicyKind} from '@goldcrestpier/settings';
import {
  createPlacement,
  silentCounters,
  type Placement,
  type PlacementCounters,
  type PlacementPeers,
} from '../src/index.js';
import {ZONES, type SimulatedServer} from './workload.js';

const HEARTBEAT_MS = 500;

/** Options of `createFleet`. */
export interface FleetOptions {
  readonly owners: number;
  readonly servers: readonly SimulatedServer[];
  readonly policy: PolicyKind;
  /** One-way delay between zones; whole milliseconds, as timers allow no less. */
  readonly betweenZonesMs: number;
  readonly fault?: TrialFault;
  /** When the faults begin, on the monotonic clock. */
  readonly faultAt?: number;
  readonly lifecycle: Lifecycle;
  readonly counters: Partial<PlacementCounters>;
  readonly onEnd: (task: PlacementTask, outcome: TaskOutcome) => void;
  /** Replaces the simulated runners. */
  readonly runners?: RunnerClient;
}

/** Creates the instances of one trial. */
export function createFleet(options: FleetOptions): Placement[] {
  const members = Array.from({length: options.owners}, (_, i) =>
    createMember(i),
  );
  const placements: Placement[] = [];
  const runners = options.runners ?? createFakeRunners(options);
  const servers = options.servers.map(({server}) => server);
  const settings = {
    ...defaultSettings,
    placement: {...defaultSettings.placement, policy: options.policy},
  };
  for (const self of members) {
    const placement = createPlacement({
      view: {
        self,
        members: () => members,
        servers: () => servers,
        // The first instance of each zone holds its servers.
        holderOf: ({zone}) =>
          members.find(member => member.zone === zone)?.incarnation,
        settingsOf: () => settings,
      },
      peers: createPeers(self, members, placements, options.betweenZonesMs),
      runners,
      workers: unavailableWorkers,
      counters: {...silentCounters, ...options.counters},
      logger: silentLogger,
      lifecycle: options.lifecycle.createChild(self.instance),
      onStart: () => undefined,
      onEnd: options.onEnd,
    });
    placements.push(placement);
  }
  startHeartbeats(members, placements, options.lifecycle);
  return placements;
}

function createMember(i: number): Member {
  const zone = ZONES[i % ZONES.length] ?? '';
  return {
    incarnation: `${zone}.entry-${i}.000000000000`,
    zone,
    instance: `entry-${i}`,
    peerAddress: `127.0.0.1:${30_000 + i}`,
    state: MemberState.Live,
    weight: 1,
  };
}

function createPeers(
  self: Member,
  members: readonly Member[],
  placements: readonly Placement[],
  betweenZonesMs: number,
): PlacementPeers {
  const call = async <Answer>(
    to: string,
    handle: (placement: Placement) => Answer,
  ): Promise<Answer> => {
    const at = members.findIndex(({incarnation}) => incarnation === to);
    const target = placements[at];
    if (target === undefined) throw new Error('unknown peer');
    const isNear = members[at]?.zone === self.zone;
    const delay = () =>
      isNear
        ? new Promise(resolve => setImmediate(resolve))
        : sleep(betweenZonesMs);
    await delay();
    const answer = handle(target);
    await delay();
    return answer;
  };
  return {
    demand: (to, message) =>
      call(to, placement => placement.demand(message, readClock())),
    settle: (to, message) =>
      call(to, placement => placement.settle(message, readClock())),
    offer: (to, message) =>
      call(to, placement => placement.offer(message, readClock())),
  };
}

function startHeartbeats(
  members: readonly Member[],
  placements: readonly Placement[],
  lifecycle: Lifecycle,
): void {
  const exchangeHeartbeats = () => {
    const now = readClock();
    members.forEach((from, i) => {
      members.forEach(({incarnation}, j) => {
        if (i === j) return;
        const fields = placements[i]?.heartbeatFields(incarnation, now);
        if (fields === undefined) return;
        placements[j]?.receiveHeartbeat(
          {from, sentAt: now, settingsRevision: 0, successors: [], ...fields},
          now,
        );
      });
    });
  };
  const timer = setInterval(exchangeHeartbeats, HEARTBEAT_MS);
  lifecycle.own('heartbeats', () => clearInterval(timer));
  exchangeHeartbeats();
}

/** Fault injected into one runner in ten. */
export enum TrialFault {
  None = 'none',
  /** It runs five times slower than before. */
  Slow = 'slow',
  /** It fails every task at once. */
  Failing = 'failing',
  /** It never answers. */
  Frozen = 'frozen',
}

const FAULTY_INTERVAL = 10;
const SLOWDOWN = 5;

/** Simulates runners; the payload is the run time at speed 1. */
function createFakeRunners({
  servers,
  fault,
  faultAt,
}: FleetOptions): RunnerClient {
  const inUse = new Map<string, number>();
  const byName = new Map(servers.map(each => [each.server.name, each]));
  return {
    async start(address, task, _timeoutMs, signal): Promise<StartOutcome> {
      const simulated = byName.get(address.name);
      const used = inUse.get(address.name) ?? 0;
      if (simulated === undefined) throw new Error('unknown server');
      if (used >= simulated.server.slots) return {kind: StartKind.Busy};
      inUse.set(address.name, used + 1);
      const isFaulty =
        servers.indexOf(simulated) % FAULTY_INTERVAL === 0 &&
        readClock() >= (faultAt ?? Infinity);
      let runMs = (task.payload as number) / simulated.speed;
      if (isFaulty && fault === TrialFault.Slow) runMs *= SLOWDOWN;
      if (isFaulty && fault === TrialFault.Failing) runMs = 1;
      if (isFaulty && fault === TrialFault.Frozen) runMs = 1e8;
      await sleep(runMs, signal);
      inUse.set(address.name, (inUse.get(address.name) ?? 1) - 1);
      if (signal.aborted) return {kind: StartKind.Stopped, sent: true};
      if (isFaulty && fault === TrialFault.Failing) {
        return {kind: StartKind.Failed, reason: 'injected failure', runMs};
      }
      return {kind: StartKind.Done, result: 1, runMs};
    },
  };
}

const unavailableWorkers: WorkerClient = {
  start: () => Promise.resolve({kind: StartKind.Leaving}),
  readUsage: () => Promise.resolve(undefined),
};
