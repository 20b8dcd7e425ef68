/**
 * Binds tasks by grants: requests slots from holders, starts a waiting task on
 * each grant, and reports to the holder how the grant ended. Messages are
 * batched per turn of the event loop. No message is sent when the holder is
 * this instance.
 */
import {
  GrantEnd,
  type Demand,
  type Grant,
  type Grants,
  type Prospect,
  type Settlement,
} from '@goldcrestpier/peers';
import {readClock, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import {MessageKind, WasteKind, type PlacementCounters} from '../counters.js';
import type {Resources} from '../fit/index.js';
import type {SlotAllocator} from '../holding/index.js';
import type {PlacementPeers, PlacementView} from '../view.js';
import type {Binding, EndedGrant} from './binding.js';
import type {PoolHolder} from './pool_holder.js';
import {DemandBalancer} from './demand_balancer.js';
import type {PoolQueue} from './pool_queue.js';
import {ServerHolders} from './server_holders.js';

/** How often demand is rebalanced between holders while tasks wait. */
const REVIEW_INTERVAL_MS = 5;

/** Options of `GrantBinding`. */
export interface GrantBindingOptions {
  readonly view: PlacementView;
  readonly peers: PlacementPeers;
  readonly counters: PlacementCounters;
  readonly lifecycle: Lifecycle;
  readonly allocator: SlotAllocator;
  readonly needsOf: (queue: PoolQueue, limit: number) => Resources[];
  /** Starts a waiting task on a grant; returns false when none fits. */
  readonly tryStart: (grant: Grant, now: Millis) => boolean;
}

/** Binds tasks to slots that the holders of the servers grant. */
export class GrantBinding implements Binding {
  /** Balancers by pool. */
  private readonly balancers = new Map<string, DemandBalancer>();
  /** Balancers to process in the next flush. */
  private readonly pendingBalancers = new Set<DemandBalancer>();
  /** Ended grants to report, by holder. */
  private readonly ended = new Map<string, EndedGrant[]>();
  private readonly holders: ServerHolders;
  private flushImmediate: NodeJS.Immediate | undefined;
  private reviewTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: GrantBindingOptions) {
    this.holders = new ServerHolders(options.view);
    options.lifecycle.own('grant binding', () => {
      clearImmediate(this.flushImmediate);
      clearTimeout(this.reviewTimer);
    });
  }

  /** Schedules new requests after a change in a queue. */
  onQueueChange(queue: PoolQueue): void {
    this.pendingBalancers.add(this.balancerOf(queue));
    this.scheduleFlush();
  }

  /** Reports to the server's holder how a grant ended. */
  settle(ended: EndedGrant): void {
    const holder = this.holderOf(ended.grant);
    const pending = this.ended.get(holder);
    if (pending === undefined) this.ended.set(holder, [ended]);
    else pending.push(ended);
    this.scheduleFlush();
  }

  /** No delay: the task has to wait for another grant anyway. */
  retryDelayMs(): Millis {
    return 0;
  }

  /** Applies changes in which instance holds which server. */
  refresh(): void {
    this.holders.refresh();
    for (const balancer of this.balancers.values()) {
      balancer.refresh(this.holders.holdersOf(balancer.queue.pool));
      this.pendingBalancers.add(balancer);
    }
    this.scheduleFlush();
  }

  /** Updates what one more task can expect at a holder. */
  updateProspects(
    holder: string,
    prospects: readonly Prospect[],
    now: Millis,
  ): void {
    for (const prospect of prospects) {
      this.balancers
        .get(prospect.pool)
        ?.findHolder(holder)
        ?.updateProspect(prospect, now);
    }
  }

  /** Handles grants that a holder offered. */
  receiveOffer(grants: Grants, now: Millis): void {
    const [first] = grants.grants;
    if (first !== undefined) this.applyAnswer(first.holder, grants, now);
  }

  /** The current holder of a grant's server. */
  holderOf(grant: Grant): string {
    return this.holders.holderOf(grant);
  }

  private scheduleFlush(): void {
    if (this.options.lifecycle.signal.aborted) return;
    this.flushImmediate ??= setImmediate(() => {
      this.flushImmediate = undefined;
      this.flush(readClock());
    });
  }

  private flush(now: Millis): void {
    for (const balancer of this.pendingBalancers) balancer.distribute(now);
    for (const [holder, ended] of this.ended) {
      this.ended.delete(holder);
      void this.sendSettlement(holder, ended, now);
    }
    for (const balancer of this.pendingBalancers) {
      for (const holder of balancer.holdersToRequest()) {
        void this.sendDemand(balancer, holder, now);
      }
      if (!balancer.hasWaitingTasks) this.pendingBalancers.delete(balancer);
    }
    this.scheduleReview();
  }

  /** Rebalances while tasks wait: the best holder changes as time passes. */
  private scheduleReview(): void {
    if (this.pendingBalancers.size === 0 || this.reviewTimer !== undefined)
      return;
    this.reviewTimer = setTimeout(() => {
      this.reviewTimer = undefined;
      this.flush(readClock());
    }, REVIEW_INTERVAL_MS);
  }

  private async sendDemand(
    balancer: DemandBalancer,
    holder: PoolHolder,
    now: Millis,
  ): Promise<void> {
    const {view, counters} = this.options;
    const isWithdrawal = holder.assigned === 0;
    const pools = [balancer.createDemand(holder, now)];
    const message: Demand = {owner: view.self.incarnation, pools};
    holder.markRequested(now);
    if (holder.incarnation === view.self.incarnation) {
      const grants = this.options.allocator.demand(message, now);
      return this.applyAnswer(holder.incarnation, grants, now);
    }
    counters.sent(MessageKind.Demand, 1);
    if (isWithdrawal) {
      counters.wasted(WasteKind.Withdrawal, 1);
      counters.wasted(WasteKind.UnfulfilledDemand, holder.unfulfilledDemands);
      holder.unfulfilledDemands = 0;
    } else {
      holder.unfulfilledDemands += 1;
    }
    holder.requestSentAt = now;
    try {
      const grants = await this.options.peers.demand(
        holder.incarnation,
        message,
      );
      holder.requestSentAt = undefined;
      this.applyAnswer(holder.incarnation, grants, readClock());
    } catch {
      counters.wasted(WasteKind.LostMessage, 1);
      holder.requestSentAt = undefined;
      holder.recordFailure(readClock());
    }
    if (balancer.hasWaitingTasks) this.onQueueChange(balancer.queue);
  }

  private async sendSettlement(
    holder: string,
    ended: readonly EndedGrant[],
    now: Millis,
  ): Promise<void> {
    const {view, counters} = this.options;
    const demand = this.collectChangedDemand(holder, now);
    const message: Settlement = {
      owner: view.self.incarnation,
      ends: ended.map(toEnd),
      ...(demand.length > 0 ? {demand} : {}),
    };
    if (holder === view.self.incarnation) {
      return this.applyAnswer(
        holder,
        this.options.allocator.settle(message, now),
        now,
      );
    }
    counters.sent(MessageKind.Settlement, 1);
    try {
      const grants = await this.options.peers.settle(holder, message);
      this.applyAnswer(holder, grants, readClock());
    } catch {
      // Not retried: the next heartbeat reports the grants still in use.
      counters.wasted(WasteKind.LostMessage, 1);
    }
  }

  /** Changed demand to be sent along with a settlement. */
  private collectChangedDemand(
    holder: string,
    now: Millis,
  ): NonNullable<Settlement['demand']> {
    const changed = [];
    for (const balancer of this.balancers.values()) {
      const poolHolder = balancer.findHolder(holder);
      if (poolHolder === undefined || poolHolder.isRequestPending) continue;
      if (poolHolder.assigned === poolHolder.requested) continue;
      changed.push(balancer.createDemand(poolHolder, now));
      poolHolder.markRequested(now);
    }
    return changed;
  }

  /** Applies a holder's answer: its prospects and its grants. */
  private applyAnswer(holder: string, answer: Grants, now: Millis): void {
    this.updateProspects(holder, answer.prospects ?? [], now);
    this.useGrants(answer, now);
  }

  private useGrants(grants: Grants, now: Millis): void {
    for (const grant of grants.grants) {
      this.balancers.get(grant.pool)?.findHolder(grant.holder)?.recordGrant();
      if (this.options.tryStart(grant, now)) continue;
      this.options.counters.wasted(WasteKind.ReturnedGrant, 1);
      this.settle(createReturn(grant));
    }
  }

  private balancerOf(queue: PoolQueue): DemandBalancer {
    const known = this.balancers.get(queue.pool);
    if (known !== undefined) return known;
    const balancer = new DemandBalancer(queue, this.options.needsOf);
    balancer.refresh(this.holders.holdersOf(queue.pool));
    this.balancers.set(queue.pool, balancer);
    return balancer;
  }
}

function createReturn(grant: Grant): EndedGrant {
  return {
    grant,
    end: GrantEnd.Returned,
    runMs: undefined,
    expectedMs: undefined,
  };
}

function toEnd(ended: EndedGrant): Settlement['ends'][number] {
  const {grant, end, runMs, expectedMs} = ended;
  return {
    grant: grant.grant,
    server: grant.server,
    end,
    ...(runMs === undefined ? {} : {runMs}),
    ...(expectedMs === undefined ? {} : {expectedMs}),
  };
}
