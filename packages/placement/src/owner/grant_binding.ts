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
  type Heartbeat,
  type Settlement,
} from '@goldcrestpier/peers';
import {readClock, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import {MessageKind, WasteKind, type PlacementCounters} from '../counters.js';
import type {Resources} from '../fit/index.js';
import type {Holding} from '../holding/index.js';
import type {PlacementPeers, PlacementView} from '../view.js';
import type {Binding, EndedGrant} from './binding.js';
import {PoolDesk, type Errand} from './pool_desk.js';
import type {PoolQueue} from './pool_queue.js';

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
  private readonly spares = new Map<string, Heartbeat['spare']>();
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

  /** Grants that came from a holder. */
  take(grants: Grants, now: Millis): void {
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

  /** What a peer says it has to spare. */
  hearSpare(peer: string, spare: Heartbeat['spare']): void {
    this.spares.set(peer, spare);
  }

  /** Forgets what peers that are gone had to spare. */
  forgetSpares(seen: ReadonlySet<string>): void {
    for (const peer of this.spares.keys()) {
      if (!seen.has(peer)) this.spares.delete(peer);
    }
  }

  /** The present holder of a grant's server. */
  holderOf(grant: Grant): string {
    return this.holders.get(grant.server) ?? grant.holder;
  }

  private flushSoon(): void {
    this.flushing ??= setImmediate(() => {
      this.flushing = undefined;
      this.flush(readClock());
    });
  }

  private flush(now: Millis): void {
    for (const [holder, ended] of this.ended) {
      this.ended.delete(holder);
      void this.sendSettlement(holder, ended, now);
    }
    for (const desk of this.awake) this.runErrands(desk, now);
    this.reviewLater();
  }

  private runErrands(desk: PoolDesk, now: Millis): void {
    for (;;) {
      const errand = desk.nextErrand(
        holder => this.spareOf(holder, desk.queue.pool),
        now,
      );
      if (errand === undefined) break;
      void this.sendDemand(desk, errand, now);
    }
    if (desk.reviewMs() === undefined) this.awake.delete(desk);
  }

  /** Looks again while tasks wait: time alone may change whom to ask. */
  private reviewLater(): void {
    let soonest = Infinity;
    for (const desk of this.awake) {
      soonest = Math.min(soonest, desk.reviewMs() ?? Infinity);
    }
    if (soonest === Infinity || this.reviewing !== undefined) return;
    this.reviewing = setTimeout(() => {
      this.reviewing = undefined;
      this.flush(readClock());
    }, soonest);
  }

  private async sendDemand(
    desk: PoolDesk,
    errand: Errand,
    now: Millis,
  ): Promise<void> {
    const {desk: holder, isWithdrawal} = errand;
    const {view, counters} = this.parts;
    const pools = [desk.demandFor(holder, now)];
    const message: Demand = {owner: view.self.incarnation, pools};
    const before = holder.received;
    holder.tell(desk.queue.waiting, now);
    if (holder.holder === view.self.incarnation) {
      return this.take(this.parts.holding.demand(message, now), now);
    }
    counters.sent(MessageKind.Demand, 1);
    if (isWithdrawal) {
      counters.wasted(WasteKind.Withdrawal, 1);
      counters.wasted(WasteKind.VainDemand, holder.vain);
      holder.vain = 0;
    } else {
      holder.vain += 1;
    }
    holder.asking = true;
    try {
      const grants = await this.parts.peers.demand(holder.holder, message);
      holder.asking = false;
      this.take(grants, readClock());
    } catch {
      counters.wasted(WasteKind.LostMessage, 1);
      holder.asking = false;
      holder.fail(readClock());
    }
    if (holder.received > before || desk.queue.waiting > 0) {
      this.wake(desk.queue);
    }
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
      return this.take(this.parts.holding.settle(message, now), now);
    }
    counters.sent(MessageKind.Settlement, 1);
    try {
      const grants = await this.parts.peers.settle(holder, message);
      this.take(grants, readClock());
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
      if (known.believed === desk.queue.waiting) continue;
      if (!known.isNear && known.believed === 0) continue;
      riding.push(desk.demandFor(known, now));
      known.tell(desk.queue.waiting, now);
    }
    return riding;
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

  private spareOf(holder: string, pool: string): number {
    const spare = this.spares.get(holder)?.find(each => each.pool === pool);
    return spare?.free ?? 0;
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
