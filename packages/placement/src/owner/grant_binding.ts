/**
 * Binds tasks by grants: asks holders for slots, settles how grants ended, and
 * hands each grant on to a waiting task. Messages of one turn of the event
 * loop go together. A holder that is this instance itself costs no message.
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
import type {Holding} from '../holding/index.js';
import type {PlacementPeers, PlacementView} from '../view.js';
import type {Binding, EndedGrant} from './binding.js';
import type {HolderDesk} from './holder_desk.js';
import {PoolDesk} from './pool_desk.js';
import type {PoolQueue} from './pool_queue.js';

/** How soon it is looked again whether others would serve sooner. */
const REVIEW_MS = 5;

/** What binding by grants needs. */
export interface GrantBindingParts {
  readonly view: PlacementView;
  readonly peers: PlacementPeers;
  readonly counters: PlacementCounters;
  readonly lifecycle: Lifecycle;
  readonly holding: Holding;
  readonly needsOf: (queue: PoolQueue, limit: number) => Resources[];
  /** Starts a waiting task on a grant; false when none waits for it. */
  readonly use: (grant: Grant, now: Millis) => boolean;
}

/** Binds tasks by grants of the servers' holders. */
export class GrantBinding implements Binding {
  private readonly desks = new Map<string, PoolDesk>();
  private readonly awake = new Set<PoolDesk>();
  private readonly ended = new Map<string, EndedGrant[]>();
  /** The holder of each server. */
  private readonly holders = new Map<string, string>();
  private flushing: NodeJS.Immediate | undefined;
  private reviewing: NodeJS.Timeout | undefined;

  constructor(private readonly parts: GrantBindingParts) {
    parts.lifecycle.own('grant binding', () => {
      clearImmediate(this.flushing);
      clearTimeout(this.reviewing);
    });
  }

  /** Something changed in a queue. */
  wake(queue: PoolQueue): void {
    this.awake.add(this.deskOf(queue));
    this.flushSoon();
  }

  /** Tells the server's holder how a grant ended. */
  settle(ended: EndedGrant): void {
    const holder = this.holderOf(ended.grant);
    const waiting = this.ended.get(holder);
    if (waiting === undefined) this.ended.set(holder, [ended]);
    else waiting.push(ended);
    this.flushSoon();
  }

  /** Another grant is needed first, so that no further pause is. */
  pauseMs(): Millis {
    return 0;
  }

  private take(grants: Grants, now: Millis): void {
    for (const grant of grants.grants) {
      this.desks.get(grant.pool)?.deskOf(grant.holder)?.receive();
      if (this.parts.use(grant, now)) continue;
      this.parts.counters.wasted(WasteKind.ReturnedGrant, 1);
      this.settle(createReturn(grant));
    }
  }

  /** Takes up who holds which server now. */
  refresh(): void {
    const {view} = this.parts;
    this.holders.clear();
    for (const server of view.servers()) {
      const holder = view.holderOf(server);
      if (holder !== undefined) this.holders.set(server.name, holder);
    }
    for (const desk of this.desks.values()) {
      desk.refresh(this.holdersOf(desk.queue.pool));
      this.awake.add(desk);
    }
    this.flushSoon();
  }

  /** What a task may expect at a holder. */
  hearProspects(
    holder: string,
    prospects: readonly Prospect[],
    now: Millis,
  ): void {
    for (const prospect of prospects) {
      this.desks.get(prospect.pool)?.deskOf(holder)?.hear(prospect, now);
    }
  }

  /** Grants that a holder pushed. */
  takeOffer(grants: Grants, now: Millis): void {
    const [first] = grants.grants;
    if (first !== undefined) this.hear(first.holder, grants, now);
  }

  /** The present holder of a grant's server. */
  holderOf(grant: Grant): string {
    return this.holders.get(grant.server) ?? grant.holder;
  }

  private flushSoon(): void {
    if (this.parts.lifecycle.signal.aborted) return;
    this.flushing ??= setImmediate(() => {
      this.flushing = undefined;
      this.flush(readClock());
    });
  }

  private flush(now: Millis): void {
    for (const desk of this.awake) desk.share(now);
    for (const [holder, ended] of this.ended) {
      this.ended.delete(holder);
      void this.sendSettlement(holder, ended, now);
    }
    for (const desk of this.awake) {
      for (const holder of desk.toTell()) {
        void this.sendDemand(desk, holder, now);
      }
      if (!desk.isWaiting) this.awake.delete(desk);
    }
    this.reviewLater();
  }

  /** Looks again while tasks wait: time alone may change whom to ask. */
  private reviewLater(): void {
    if (this.awake.size === 0 || this.reviewing !== undefined) return;
    this.reviewing = setTimeout(() => {
      this.reviewing = undefined;
      this.flush(readClock());
    }, REVIEW_MS);
  }

  private async sendDemand(
    desk: PoolDesk,
    holder: HolderDesk,
    now: Millis,
  ): Promise<void> {
    const {view, counters} = this.parts;
    const isWithdrawal = holder.wanted === 0;
    const pools = [desk.demandFor(holder, now)];
    const message: Demand = {owner: view.self.incarnation, pools};
    holder.tell(now);
    if (holder.holder === view.self.incarnation) {
      const grants = this.parts.holding.demand(message, now);
      return this.hear(holder.holder, grants, now);
    }
    counters.sent(MessageKind.Demand, 1);
    if (isWithdrawal) {
      counters.wasted(WasteKind.Withdrawal, 1);
      counters.wasted(WasteKind.VainDemand, holder.vain);
      holder.vain = 0;
    } else {
      holder.vain += 1;
    }
    holder.askedAt = now;
    try {
      const grants = await this.parts.peers.demand(holder.holder, message);
      holder.askedAt = undefined;
      this.hear(holder.holder, grants, readClock());
    } catch {
      counters.wasted(WasteKind.LostMessage, 1);
      holder.askedAt = undefined;
      holder.fail(readClock());
    }
    if (desk.isWaiting) this.wake(desk.queue);
  }

  private async sendSettlement(
    holder: string,
    ended: readonly EndedGrant[],
    now: Millis,
  ): Promise<void> {
    const {view, counters} = this.parts;
    const demand = this.ridingDemand(holder, now);
    const message: Settlement = {
      owner: view.self.incarnation,
      ends: ended.map(toEnd),
      ...(demand.length > 0 ? {demand} : {}),
    };
    if (holder === view.self.incarnation) {
      return this.hear(holder, this.parts.holding.settle(message, now), now);
    }
    counters.sent(MessageKind.Settlement, 1);
    try {
      const grants = await this.parts.peers.settle(holder, message);
      this.hear(holder, grants, readClock());
    } catch {
      // The next heartbeats tell the holder which grants are still in use.
      counters.wasted(WasteKind.LostMessage, 1);
    }
  }

  /** Changes of demand that ride on a settlement. */
  private ridingDemand(
    holder: string,
    now: Millis,
  ): NonNullable<Settlement['demand']> {
    const riding = [];
    for (const desk of this.desks.values()) {
      const known = desk.deskOf(holder);
      if (known === undefined || known.asking) continue;
      if (known.wanted === known.told) continue;
      riding.push(desk.demandFor(known, now));
      known.tell(now);
    }
    return riding;
  }

  /** Takes a holder's answer: its grants, and how long its queues are. */
  private hear(holder: string, answer: Grants, now: Millis): void {
    this.hearProspects(holder, answer.prospects ?? [], now);
    this.take(answer, now);
  }

  private deskOf(queue: PoolQueue): PoolDesk {
    const known = this.desks.get(queue.pool);
    if (known !== undefined) return known;
    const desk = new PoolDesk(queue, this.parts.needsOf);
    desk.refresh(this.holdersOf(queue.pool));
    this.desks.set(queue.pool, desk);
    return desk;
  }

  /** The holders of a pool's servers, and whether they are of this zone. */
  private holdersOf(pool: string): Map<string, boolean> {
    const {view} = this.parts;
    const holders = new Map<string, boolean>();
    for (const server of view.servers()) {
      if (server.pool !== pool) continue;
      const holder = this.holders.get(server.name);
      if (holder === undefined) continue;
      const isNear = server.zone === view.self.zone;
      holders.set(holder, isNear || (holders.get(holder) ?? false));
    }
    return holders;
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
