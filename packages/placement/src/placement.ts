/** The door of placement: both sides, owner and holder, of one instance. */
import type {RunnerClient, WorkerClient} from '@goldcrestpier/backends';
import type {
  Demand,
  Grants,
  Heartbeat,
  Prospect,
  ServerSummary,
  Settlement,
} from '@goldcrestpier/peers';
import type {Failure, PlacedTask, TaskOutcome} from '@goldcrestpier/protocol';
import {
  readClock,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';
import type {PlacementCounters} from './counters.js';
import {Holding} from './holding/index.js';
import {Owner, type PoolWaiting} from './owner/index.js';
import type {PlacementPeers, PlacementView} from './view.js';

/** How often leases of grants are looked through. */
const TICK_MS = 250;
/** How soon demand is looked at again that waits for faster servers. */
const REVIEW_MS = 10;

/** What placement needs. */
export interface PlacementParts {
  readonly view: PlacementView;
  readonly peers: PlacementPeers;
  readonly runners: RunnerClient;
  readonly workers: WorkerClient;
  readonly counters: PlacementCounters;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  /** A task was sent to a server for the first time. */
  readonly onStart: (task: PlacedTask) => void;
  /** A task has its final answer. */
  readonly onEnd: (task: PlacedTask, outcome: TaskOutcome) => void;
}

/** Places this instance's tasks, and grants the servers that it holds. */
export interface Placement {
  /** Takes in all tasks or none; an error is a true not run. */
  enqueue(tasks: readonly PlacedTask[], now: Millis): Result<void, Failure>;
  /** Ends tasks at once; those that had started are asked to stop. */
  cancel(ids: readonly string[], now: Millis): void;
  /** What waits and runs, by pool. */
  waiting(now: Millis): readonly PoolWaiting[];
  /** Takes nothing new, and resolves when every task has ended. */
  drain(): Promise<void>;
  /** Members, servers or settings changed. */
  refresh(now: Millis): void;
  /** A peer's demand, settlement or offer arrived. */
  demand(message: Demand, now: Millis): Grants;
  settle(message: Settlement, now: Millis): Grants;
  offer(message: Grants, now: Millis): void;
  /** What rides on the next heartbeat to `peer`. */
  heartbeatParts(
    peer: string,
    now: Millis,
  ): Pick<Heartbeat, 'grantsInUse' | 'spare'>;
  /** A heartbeat arrived, or an answer to one. */
  hearHeartbeat(message: Heartbeat, now: Millis): void;
  /** The servers that this instance holds. */
  servers(now: Millis): readonly ServerSummary[];
}

/** Creates the placement of one instance. It stops with `lifecycle`. */
export function createPlacement(parts: PlacementParts): Placement {
  const {view, lifecycle} = parts;
  const self = view.self.incarnation;
  const holding: Holding = new Holding({
    ...parts,
    deliver: (grants, now) => owner.takeGrants(grants, now),
    reviewSoon: createReview(lifecycle, now => holding.review(now)),
  });
  const owner: Owner = new Owner({...parts, holding});
  const refresh = (now: Millis) => {
    holding.refresh(now);
    owner.refresh(now);
  };
  keepTicking(lifecycle, holding, now => {
    holding.learnInUse(self, owner.grantsInUse(self), now);
  });
  refresh(readClock());
  return {
    enqueue: (tasks, now) => owner.enqueue(tasks, now),
    cancel: (ids, now) => owner.cancel(ids, now),
    waiting: now => owner.waiting(now),
    drain: () => owner.drain(),
    refresh,
    demand: (message, now) => holding.demand(message, now),
    settle: (message, now) => holding.settle(message, now),
    offer: (message, now) => owner.takeGrants(message, now),
    heartbeatParts: (peer, now) => ({
      grantsInUse: owner.grantsInUse(peer),
      spare: holding.spare(now),
    }),
    hearHeartbeat: (message, now) => {
      const peer = message.from.incarnation;
      holding.learnInUse(peer, message.grantsInUse, now);
      owner.hearProspects(peer, toProspects(message.spare), now);
    },
    servers: now => holding.summarize(now),
  };
}

/** The prospects that a heartbeat tells of. */
function toProspects(spare: Heartbeat['spare']): Prospect[] {
  return spare.flatMap(({pool, speed, waitMs, everyMs}) =>
    waitMs === undefined || everyMs === undefined || speed <= 0
      ? []
      : [{pool, speed, waitMs, everyMs}],
  );
}

/** Makes a call that has `review` run once, a little later. */
function createReview(
  lifecycle: Lifecycle,
  review: (now: Millis) => void,
): () => void {
  let timer: NodeJS.Timeout | undefined;
  lifecycle.own('review of demand', () => clearTimeout(timer));
  return () => {
    if (lifecycle.signal.aborted) return;
    timer ??= setTimeout(() => {
      timer = undefined;
      review(readClock());
    }, REVIEW_MS);
  };
}

/** Runs the holder's clock. */
function keepTicking(
  lifecycle: Lifecycle,
  holding: Holding,
  onTick: (now: Millis) => void,
): void {
  const timer = setInterval(() => {
    const now = readClock();
    onTick(now);
    holding.tick(now);
  }, TICK_MS);
  lifecycle.own('holding', () => clearInterval(timer));
}
