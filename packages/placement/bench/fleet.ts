/** Entry instances of one trial, in one process, and their fake runners. */
import {
  StartKind,
  type RunnerClient,
  type StartOutcome,
  type WorkerClient,
} from '@goldcrestpier/backends';
import {MemberState, type Member} from '@goldcrestpier/peers';
import type {PlacedTask, TaskOutcome} from '@goldcrestpier/protocol';
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
import {ZONES, type SpeedyServer} from './workload.js';

const HEARTBEAT_MS = 500;

/** What a fleet is made of. */
export interface FleetShape {
  readonly owners: number;
  readonly servers: readonly SpeedyServer[];
  readonly policy: PolicyKind;
  /** One way between zones, in whole milliseconds (timers know no less). */
  readonly betweenZonesMs: number;
  readonly fault?: TrialFault;
  /** When the faults begin, on the monotonic clock. */
  readonly faultAt?: number;
  readonly lifecycle: Lifecycle;
  readonly counters: Partial<PlacementCounters>;
  readonly onEnd: (task: PlacedTask, outcome: TaskOutcome) => void;
  /** In place of runners that take their time. */
  readonly runners?: RunnerClient;
}

/** The instances of one trial. */
export function createFleet(shape: FleetShape): Placement[] {
  const members = Array.from({length: shape.owners}, (_, i) => createMember(i));
  const placements: Placement[] = [];
  const runners = shape.runners ?? createFakeRunners(shape);
  const servers = shape.servers.map(({server}) => server);
  const settings = {
    ...defaultSettings,
    placement: {...defaultSettings.placement, policy: shape.policy},
  };
  for (const self of members) {
    const placement = createPlacement({
      view: {
        self,
        members: () => members,
        servers: () => servers,
        // One holder for each zone: its first instance.
        holderOf: ({zone}) =>
          members.find(member => member.zone === zone)?.incarnation,
        settingsOf: () => settings,
      },
      peers: createPeers(self, members, placements, shape.betweenZonesMs),
      runners,
      workers: noWorkers,
      counters: {...silentCounters, ...shape.counters},
      logger: silentLogger,
      lifecycle: shape.lifecycle.createChild(self.instance),
      onStart: () => undefined,
      onEnd: shape.onEnd,
    });
    placements.push(placement);
  }
  keepHeartbeats(members, placements, shape.lifecycle);
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
    const travel = () =>
      isNear
        ? new Promise(resolve => setImmediate(resolve))
        : sleep(betweenZonesMs);
    await travel();
    const answer = handle(target);
    await travel();
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

function keepHeartbeats(
  members: readonly Member[],
  placements: readonly Placement[],
  lifecycle: Lifecycle,
): void {
  const beat = () => {
    const now = readClock();
    members.forEach((from, i) => {
      members.forEach(({incarnation}, j) => {
        if (i === j) return;
        const parts = placements[i]?.heartbeatParts(incarnation, now);
        if (parts === undefined) return;
        placements[j]?.hearHeartbeat(
          {from, sentAt: now, settingsRevision: 0, successors: [], ...parts},
          now,
        );
      });
    });
  };
  const timer = setInterval(beat, HEARTBEAT_MS);
  lifecycle.own('heartbeats', () => clearInterval(timer));
  beat();
}

/** What is wrong with one runner in ten. */
export enum TrialFault {
  None = 'none',
  /** It runs five times slower than before. */
  Slow = 'slow',
  /** It fails what it starts, at once. */
  Failing = 'failing',
  /** It never answers. */
  Frozen = 'frozen',
}

const FAULTY_EACH = 10;
const SLOWED_BY = 5;

/** Runners that take as long as the task's payload and their speed say. */
function createFakeRunners({
  servers,
  fault,
  faultAt,
}: FleetShape): RunnerClient {
  const inUse = new Map<string, number>();
  const byName = new Map(servers.map(each => [each.server.name, each]));
  return {
    async start(address, task, _timeoutMs, signal): Promise<StartOutcome> {
      const speedy = byName.get(address.name);
      const used = inUse.get(address.name) ?? 0;
      if (speedy === undefined) throw new Error('unknown server');
      if (used >= speedy.server.slots) return {kind: StartKind.Busy};
      inUse.set(address.name, used + 1);
      const isFaulty =
        servers.indexOf(speedy) % FAULTY_EACH === 0 &&
        readClock() >= (faultAt ?? Infinity);
      let runMs = (task.payload as number) / speedy.speed;
      if (isFaulty && fault === TrialFault.Slow) runMs *= SLOWED_BY;
      if (isFaulty && fault === TrialFault.Failing) runMs = 1;
      if (isFaulty && fault === TrialFault.Frozen) runMs = 1e8;
      await sleep(runMs, signal);
      inUse.set(address.name, (inUse.get(address.name) ?? 1) - 1);
      if (signal.aborted) return {kind: StartKind.Stopped, sent: true};
      if (isFaulty && fault === TrialFault.Failing) {
        return {kind: StartKind.Failed, reason: 'out of ink', runMs};
      }
      return {kind: StartKind.Done, result: 1, runMs};
    },
  };
}

const noWorkers: WorkerClient = {
  start: () => Promise.resolve({kind: StartKind.Leaving}),
  readUsage: () => Promise.resolve(undefined),
};
