/** Entry point of placement: combines the owner and holder of one instance. */
import type {RunnerClient, WorkerClient} from '@goldcrestpier/backends';
import type {
  Demand,
  Grants,
  Heartbeat,
  Prospect,
  ServerSummary,
  Settlement,
} from '@goldcrestpier/peers';
import type {
  Failure,
  PlacementTask,
  TaskOutcome,
} from '@goldcrestpier/protocol';
import {
  readClock,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';
import type {PlacementCounters} from './counters.js';
import {SlotAllocator} from './holding/index.js';
import {Owner, type PoolWaiting} from './owner/index.js';
import type {PlacementPeers, PlacementView} from './view.js';

/** How often grants are checked for expiry. */
const TICK_INTERVAL_MS = 250;
/** Delay before demand that waits for a faster server is reconsidered. */
const REVIEW_DELAY_MS = 10;

/** Options of `createPlacement`. */
export interface PlacementOptions {
  readonly view: PlacementView;
  readonly peers: PlacementPeers;
  readonly runners: RunnerClient;
  readonly workers: WorkerClient;
  readonly counters: PlacementCounters;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  /** Called when a task is sent to a server for the first time. */
  readonly onStart: (task: PlacementTask) => void;
  /** Called once with the final outcome of a task. */
  readonly onEnd: (task: PlacementTask, outcome: TaskOutcome) => void;
}

/** Places the tasks of this instance and grants the slots that it holds. */
export interface Placement {
  /** Admits all tasks or none; an error guarantees that none of them ran. */
  enqueue(tasks: readonly PlacementTask[], now: Millis): Result<void, Failure>;
  /** Ends tasks at once; their running starts are asked to stop. */
  cancel(ids: readonly string[], now: Millis): void;
  /** Counts of waiting and running tasks by pool. */
  waiting(now: Millis): readonly PoolWaiting[];
  /** Refuses new tasks and resolves when all tasks have ended. */
  drain(): Promise<void>;
  /** Applies changes of members, servers or settings. */
  refresh(now: Millis): void;
  /** Handle a demand, settlement or offer from a peer. */
  demand(message: Demand, now: Millis): Grants;
  settle(message: Settlement, now: Millis): Grants;
  offer(message: Grants, now: Millis): void;
  /** Fields that placement adds to the next heartbeat to `peer`. */
  heartbeatFields(
    peer: string,
    now: Millis,
  ): Pick<Heartbeat, 'grantsInUse' | 'spare'>;
  /** Handles a heartbeat, or the answer to one. */
  receiveHeartbeat(message: Heartbeat, now: Millis): void;
  /** Summaries of the servers that this instance holds. */
  servers(now: Millis): readonly ServerSummary[];
}

/** Creates the placement of one instance. It is closed by `lifecycle`. */
export function createPlacement(options: PlacementOptions): Placement {
  const {view, lifecycle} = options;
  const self = view.self.incarnation;
  const allocator: SlotAllocator = new SlotAllocator({
    ...options,
    deliver: (grants, now) => owner.receiveGrants(grants, now),
    scheduleReview: createReviewScheduler(lifecycle, now =>
      allocator.review(now),
    ),
  });
  const owner: Owner = new Owner({...options, allocator: allocator});
  const refresh = (now: Millis) => {
    allocator.refresh(now);
    owner.refresh(now);
  };
  startTicking(lifecycle, allocator, now => {
    allocator.reconcileGrants(self, owner.grantsInUse(self), now);
  });
  refresh(readClock());
  return {
    enqueue: (tasks, now) => owner.enqueue(tasks, now),
    cancel: (ids, now) => owner.cancel(ids, now),
    waiting: now => owner.waiting(now),
    drain: () => owner.drain(),
    refresh,
    demand: (message, now) => allocator.demand(message, now),
    settle: (message, now) => allocator.settle(message, now),
    offer: (message, now) => owner.receiveGrants(message, now),
    heartbeatFields: (peer, now) => ({
      grantsInUse: owner.grantsInUse(peer),
      spare: allocator.spare(now),
    }),
    receiveHeartbeat: (message, now) => {
      const peer = message.from.incarnation;
      allocator.reconcileGrants(peer, message.grantsInUse, now);
      owner.updateProspects(peer, toProspects(message.spare), now);
    },
    servers: now => allocator.summarize(now),
  };
}

/** Extracts the prospects of a heartbeat. */
function toProspects(spare: Heartbeat['spare']): Prospect[] {
  return spare.flatMap(({pool, speed, waitMs, everyMs}) =>
    waitMs === undefined || everyMs === undefined || speed <= 0
      ? []
      : [{pool, speed, waitMs, everyMs}],
  );
}

/** Returns a function that schedules `review`, coalescing repeated calls. */
function createReviewScheduler(
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
    }, REVIEW_DELAY_MS);
  };
}

/** Calls `onTick` and the allocator's `tick` periodically. */
function startTicking(
  lifecycle: Lifecycle,
  allocator: SlotAllocator,
  onTick: (now: Millis) => void,
): void {
  const timer = setInterval(() => {
    const now = readClock();
    onTick(now);
    allocator.tick(now);
  }, TICK_INTERVAL_MS);
  lifecycle.own('holding', () => clearInterval(timer));
}
