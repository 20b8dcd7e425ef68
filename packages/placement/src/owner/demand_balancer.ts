/**
 * Distributes the waiting tasks of a pool between its holders. Each task is
 * requested from one holder at a time, the one where it is expected to end
 * first. Requests to several holders would yield grants that must be returned.
 */
import type {PoolDemand} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../fit/index.js';
import {PoolHolder} from './pool_holder.js';
import type {PoolQueue} from './pool_queue.js';

/** Minimum saving for which a task is moved to another holder. */
const MIN_SAVED_MS = 30;
/** Minimum wait before a task is moved, and interval between moves. */
const REBALANCE_INTERVAL_MS = 20;
/** Wait after which a task with needs is tried at other holders in turn. */
const STUCK_TASK_MS = 500;
/** Maximum number of needs in one demand. */
const MAX_REQUESTED_NEEDS = 16;

/** Decides how many slots of one pool to request from each holder. */
export class DemandBalancer {
  private rebalancedAt: Millis = 0;
  private readonly poolHolders = new Map<string, PoolHolder>();

  constructor(
    readonly queue: PoolQueue,
    private readonly needsOf: (queue: PoolQueue, limit: number) => Resources[],
  ) {}

  /** Updates the holders; the values tell whether each is in this zone. */
  refresh(holders: ReadonlyMap<string, boolean>): void {
    for (const incarnation of this.poolHolders.keys()) {
      if (!holders.has(incarnation)) this.poolHolders.delete(incarnation);
    }
    for (const [incarnation, isSameZone] of holders) {
      if (this.poolHolders.get(incarnation)?.isSameZone === isSameZone)
        continue;
      this.poolHolders.set(
        incarnation,
        new PoolHolder(incarnation, isSameZone),
      );
    }
  }

  /** Finds a holder by its incarnation. */
  findHolder(incarnation: string): PoolHolder | undefined {
    return this.poolHolders.get(incarnation);
  }

  /** Matches the assignments to the queue size; if they match, rebalances. */
  distribute(now: Millis): void {
    let assigned = 0;
    for (const holder of this.poolHolders.values()) assigned += holder.assigned;
    const missing = this.queue.waiting - assigned;
    if (missing < 0) return this.unassign(-missing);
    if (missing === 0) return this.rebalance(now);
    for (let i = 0; i < missing; i += 1) this.earliestHolder(now)?.assign();
  }

  /** Holders that need a new request and have none in flight. */
  holdersToRequest(): PoolHolder[] {
    const hasNeeds = this.hasNeeds;
    return [...this.poolHolders.values()].filter(
      holder =>
        !holder.isRequestPending &&
        (holder.assigned > holder.requested ||
          (hasNeeds && needsRequestUpdate(holder))),
    );
  }

  /** Whether tasks wait, so that rebalancing may be useful. */
  get hasWaitingTasks(): boolean {
    return this.queue.waiting > 0;
  }

  /** Creates the demand to send to one holder. */
  createDemand(holder: PoolHolder, now: Millis): PoolDemand {
    const {queue} = this.queue;
    let counted = 0;
    let allotted = 0;
    const teams = [];
    for (const team of queue.waitingTeams) {
      counted += queue.sizeOf(team);
      // Splits by team in proportion; cumulative rounding keeps the sum exact.
      const target = Math.round((counted * holder.assigned) / queue.size);
      const waiting = target - allotted;
      allotted = target;
      if (waiting === 0) continue;
      const oldestMs = this.queue.oldestOf(team, now);
      teams.push({team, waiting, oldestMs});
    }
    const needs = this.needsOf(
      this.queue,
      Math.min(holder.assigned, MAX_REQUESTED_NEEDS),
    );
    holder.requestedNeeds = needs.length;
    return {
      pool: this.queue.pool,
      teams,
      needs,
      received: holder.received,
    };
  }

  /** The responsive holder where one more task would end first. */
  private earliestHolder(now: Millis): PoolHolder | undefined {
    let best: PoolHolder | undefined;
    let bestMs = Infinity;
    for (const holder of this.poolHolders.values()) {
      if (holder.isUnresponsive(now)) continue;
      const finishMs = holder.finishMs(this.queue.meanRunMs, now);
      if (finishMs >= bestMs) continue;
      best = holder;
      bestMs = finishMs;
    }
    return best;
  }

  /** Moves long-waiting tasks to a holder where they would end sooner. */
  private rebalance(now: Millis): void {
    if (this.queue.oldestMs(now) < REBALANCE_INTERVAL_MS) return;
    if (now - this.rebalancedAt < REBALANCE_INTERVAL_MS) return;
    this.rebalancedAt = now;
    if (this.isStuck(now)) return this.moveStuckTask(now);
    const best = this.earliestHolder(now);
    if (best === undefined || best.isRequestPending) return;
    const bestMs = best.finishMs(this.queue.meanRunMs, now);
    for (const holder of this.poolHolders.values()) {
      if (holder === best || holder.assigned === 0) continue;
      if (holder.isUnresponsive(now)) {
        moveAll(holder, best);
        continue;
      }
      const savedMs = holder.finishMs(this.queue.meanRunMs, now) - bestMs;
      if (savedMs < MIN_SAVED_MS) continue;
      holder.assigned -= 1;
      best.assign();
    }
  }

  /** Whether the waiting tasks have resource needs, that is, are for workers. */
  private get hasNeeds(): boolean {
    return this.needsOf(this.queue, 1).length > 0;
  }

  /**
   * Whether the oldest task may need another holder: prospects describe small
   * tasks, so large needs may not fit where the prospect looks best.
   */
  private isStuck(now: Millis): boolean {
    return this.hasNeeds && this.queue.oldestMs(now) >= STUCK_TASK_MS;
  }

  /** Moves one task from the most loaded holder to the least loaded one. */
  private moveStuckTask(now: Millis): void {
    const candidates = [...this.poolHolders.values()]
      .filter(holder => !holder.isUnresponsive(now) && !holder.isRequestPending)
      .sort((a, b) => a.assigned - b.assigned);
    const [least] = candidates;
    const most = candidates.at(-1);
    if (least === undefined || most === undefined) return;
    if (least === most || most.assigned === 0) return;
    most.assigned -= 1;
    least.assign();
  }

  private unassign(surplus: number): void {
    let left = surplus;
    for (const holder of this.poolHolders.values()) {
      const released = Math.min(holder.assigned, left);
      holder.assigned -= released;
      left -= released;
    }
  }
}

/** Reassigns all tasks of a holder that may be frozen or disconnected. */
function moveAll(from: PoolHolder, to: PoolHolder): void {
  for (; from.assigned > 0; from.assigned -= 1) to.assign();
}

/** Whether all needs sent to a holder were granted and more tasks wait. */
function needsRequestUpdate(holder: PoolHolder): boolean {
  return holder.assigned > 0 && holder.requestedNeeds === 0;
}
