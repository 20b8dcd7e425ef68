/**
 * The holder's side. Only the holder of a server grants its free slots. A grant
 * is a lease. Two instances that both believe they hold a server do no harm:
 * the server enforces its own limit and answers "busy".
 */
import {
  type Demand,
  type Grant,
  type Grants,
  type Heartbeat,
  type PoolDemand,
  type Prospect,
  type ServerSummary,
  type Settlement,
} from '@goldcrestpier/peers';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import {MessageKind, WasteKind, type PlacementCounters} from '../counters.js';
import type {PlacementPeers, PlacementView} from '../view.js';
import {HeldPools} from './held_pools.js';
import type {HeldGrant} from './held_server.js';

/** A grant that its owner does not report after this time is not in use. */
const UNLISTED_MS = 1_000;

/** Options of `SlotAllocator`. */
export interface SlotAllocatorOptions {
  readonly view: PlacementView;
  readonly peers: PlacementPeers;
  readonly counters: PlacementCounters;
  readonly logger: Logger;
  /** Delivers grants to the owner in the same instance. */
  readonly deliver: (grants: Grants, now: Millis) => void;
  /**
   * Schedules a call of `review`: deferred demand may become worth starting
   * as time passes.
   */
  readonly scheduleReview: () => void;
}

/** Grants the slots of the servers that this instance holds. */
export class SlotAllocator {
  private readonly pools: HeldPools;

  constructor(private readonly options: SlotAllocatorOptions) {
    this.pools = new HeldPools(options);
  }

  /** Records an owner's demand and answers with grants of free slots. */
  demand(message: Demand, now: Millis): Grants {
    for (const item of message.pools) this.setDemand(message.owner, item, now);
    const pools = message.pools.map(({pool}) => pool);
    return this.allocate(pools, message.owner, now);
  }

  /** Releases ended grants and grants the freed slots at once. */
  settle(message: Settlement, now: Millis): Grants {
    const pools = new Set<string>();
    for (const end of message.ends) {
      const found = this.pools.findByServer(end.server);
      if (found === undefined) continue;
      const [name, pool] = found;
      const {runMs, expectedMs} = end;
      pools.add(name);
      pool.settle({...end, runMs, expectedMs}, now);
    }
    for (const item of message.demand ?? []) {
      this.setDemand(message.owner, item, now);
      pools.add(item.pool);
    }
    return this.allocate(pools, message.owner, now);
  }

  /**
   * Reconciles the grants of a peer with those it reports as in use: confirms
   * or adopts the reported ones and releases those missing from the report.
   */
  reconcileGrants(
    peer: string,
    inUse: Heartbeat['grantsInUse'],
    now: Millis,
  ): void {
    const listed = new Map(inUse.map(({grant, server}) => [grant, server]));
    for (const pool of this.pools) {
      for (const held of pool.servers.values()) {
        held.unreportedPeers.delete(peer);
        for (const grant of held.grants.values()) {
          if (grant.owner !== peer) continue;
          if (listed.has(grant.id)) grant.confirmed = true;
          else if (now - grant.grantedAt > UNLISTED_MS) pool.drop(held, grant);
        }
      }
    }
    for (const [grant, server] of listed) this.adopt(peer, grant, server, now);
  }

  /** Applies changes of members, servers and settings. */
  refresh(now: Millis): void {
    this.pools.refresh(now);
    this.allocateAll(now);
  }

  /** Releases expired grants and allocates again; called periodically. */
  tick(now: Millis): void {
    this.pools.expire(now);
    this.allocateAll(now);
  }

  /** Allocates again for demand that was deferred for a faster server. */
  review(now: Millis): void {
    this.allocateAll(now);
  }

  /** Free capacity and prospects by pool, for the heartbeats. */
  spare(now: Millis): Heartbeat['spare'] {
    return this.createProspects(this.pools.names(), now).map(prospect => {
      const held = this.pools.ensure(prospect.pool);
      // Slots that are already requested are not spare.
      const free = Math.max(held.freeSlots(now) - held.demand.waiting, 0);
      return {...prospect, free};
    });
  }

  /** Summarizes the held servers for the operators' interface. */
  summarize(now: Millis): ServerSummary[] {
    const holder = this.options.view.self.incarnation;
    return [...this.pools].flatMap(pool =>
      [...pool.servers.values()].map(held => ({
        server: held.server.name,
        kind: held.server.kind,
        zone: held.server.zone,
        pool: held.server.pool,
        holder,
        slots: held.server.slots,
        inUse: held.grants.size,
        speed: held.speed.speed,
        state: pool.stateOf(held, now),
      })),
    );
  }

  private setDemand(owner: string, demand: PoolDemand, now: Millis): void {
    this.pools.ensure(demand.pool).demand.replace(owner, demand, now);
  }

  /**
   * Allocates in the given pools. Returns the grants for `requester` and offers
   * the others to their owners.
   */
  private allocate(
    pools: Iterable<string>,
    requester: string,
    now: Millis,
  ): Grants {
    const answer: Grant[] = [];
    const pushed = new Map<string, Grant[]>();
    for (const name of pools) {
      const pool = this.pools.find(name);
      if (pool === undefined) continue;
      const granted = pool.allocate(now);
      if (pool.hasDeferredDemand(now)) this.options.scheduleReview();
      for (const [owner, grants] of granted) {
        if (owner === requester) answer.push(...grants);
        else pushed.set(owner, [...(pushed.get(owner) ?? []), ...grants]);
      }
    }
    for (const [owner, grants] of pushed) this.sendOffer(owner, grants, now);
    return {grants: answer, prospects: this.createProspects(pools, now)};
  }

  private allocateAll(now: Millis): void {
    // The requester matches no owner, so all grants are sent as offers.
    this.allocate(this.pools.names(), '', now);
  }

  /** What one more task can expect in each pool with held servers. */
  private createProspects(pools: Iterable<string>, now: Millis): Prospect[] {
    return [...pools]
      .map(name => this.pools.ensure(name))
      .filter(({servers}) => servers.size > 0)
      .map(pool => pool.prospect(now));
  }

  private sendOffer(owner: string, list: Grant[], now: Millis): void {
    const {view, peers, counters, deliver, logger} = this.options;
    const pools = new Set(list.map(({pool}) => pool));
    const grants = {grants: list, prospects: this.createProspects(pools, now)};
    if (owner === view.self.incarnation) return deliver(grants, now);
    counters.sent(MessageKind.Offer, 1);
    peers.offer(owner, grants).catch(() => {
      // Not retried: the owner may have received the grants, which expire.
      counters.wasted(WasteKind.LostMessage, 1);
      logger.debug('failed to deliver a grant offer', {owner});
    });
  }

  /** Takes over a grant of a previous holder that is still in use. */
  private adopt(
    owner: string,
    grant: string,
    server: string,
    now: Millis,
  ): void {
    const held = this.pools.findServer(server);
    if (held === undefined || held.grants.has(grant)) return;
    const adopted: HeldGrant = {
      id: grant,
      owner,
      pool: held.server.pool,
      team: '',
      needs: undefined,
      grantedAt: now,
      expiresAt: now,
      confirmed: true,
    };
    held.grants.set(grant, adopted);
  }
}
