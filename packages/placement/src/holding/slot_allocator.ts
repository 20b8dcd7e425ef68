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
import type {Server} from '@goldcrestpier/platform';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import {MessageKind, WasteKind, type PlacementCounters} from '../counters.js';
import type {PlacementPeers, PlacementView} from '../view.js';
import {PoolAllocator} from './pool_allocator.js';
import type {HeldGrant, HeldServer} from './held_server.js';

/** A grant that its owner does not report after this time is not in use. */
const UNLISTED_MS = 1_000;
/** Longest time a new holder waits for the heartbeats of its peers. */
const REPORT_TIMEOUT_MS = 5_000;

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
  private readonly pools = new Map<string, PoolAllocator>();
  private readonly heldAt = new Map<string, Millis>();
  private grantSequence = 0;

  constructor(private readonly options: SlotAllocatorOptions) {}

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
      const pool = this.poolOfServer(end.server);
      if (pool === undefined) continue;
      pools.add(pool[0]);
      pool[1].settle(
        {...end, runMs: end.runMs, expectedMs: end.expectedMs},
        now,
      );
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
    for (const pool of this.pools.values()) {
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
    const {view} = this.options;
    const self = view.self.incarnation;
    const peers = this.peerIncarnations();
    const heldServers = new Map<string, Server>();
    for (const server of view.servers()) {
      if (view.holderOf(server) === self) heldServers.set(server.name, server);
    }
    for (const server of heldServers.values()) {
      if (!this.heldAt.has(server.name)) this.heldAt.set(server.name, now);
      this.ensurePool(server.pool).upsertServer(server, peers, now);
    }
    for (const pool of this.pools.values()) {
      for (const name of pool.servers.keys()) {
        if (heldServers.has(name)) continue;
        pool.servers.delete(name);
        this.heldAt.delete(name);
      }
    }
    this.removeDeparted(new Set([self, ...peers]));
    this.allocateAll(now);
  }

  /** Releases expired grants and allocates again; called periodically. */
  tick(now: Millis): void {
    for (const pool of this.pools.values()) {
      pool.expireGrants(now);
      for (const [name, held] of pool.servers) {
        const heldAt = this.heldAt.get(name) ?? now;
        if (now - heldAt > REPORT_TIMEOUT_MS) held.unreportedPeers.clear();
      }
    }
    this.allocateAll(now);
  }

  /** Allocates again for demand that was deferred for a faster server. */
  review(now: Millis): void {
    this.allocateAll(now);
  }

  /** Free capacity and prospects by pool, for the heartbeats. */
  spare(now: Millis): Heartbeat['spare'] {
    return this.createProspects(this.pools.keys(), now).map(prospect => {
      const held = this.ensurePool(prospect.pool);
      // Slots that are already requested are not spare.
      const free = Math.max(held.freeSlots(now) - held.demand.waiting, 0);
      return {...prospect, free};
    });
  }

  /** Summarizes the held servers for the operators' interface. */
  summarize(now: Millis): ServerSummary[] {
    const holder = this.options.view.self.incarnation;
    return [...this.pools.values()].flatMap(pool =>
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
    this.ensurePool(demand.pool).demand.replace(owner, demand, now);
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
      const pool = this.pools.get(name);
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
    this.allocate(this.pools.keys(), '', now);
  }

  /** What one more task can expect in each pool with held servers. */
  private createProspects(pools: Iterable<string>, now: Millis): Prospect[] {
    return [...pools]
      .map(name => this.ensurePool(name))
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
    const held = this.findServer(server);
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

  private removeDeparted(present: ReadonlySet<string>): void {
    for (const pool of this.pools.values()) {
      for (const owner of pool.demand.knownOwners) {
        if (!present.has(owner)) pool.demand.removeOwner(owner);
      }
      for (const held of pool.servers.values()) {
        for (const peer of held.unreportedPeers) {
          if (!present.has(peer)) held.unreportedPeers.delete(peer);
        }
        for (const grant of held.grants.values()) {
          if (!present.has(grant.owner)) held.grants.delete(grant.id);
        }
      }
    }
  }

  private peerIncarnations(): string[] {
    const {view} = this.options;
    return view
      .members()
      .map(({incarnation}) => incarnation)
      .filter(incarnation => incarnation !== view.self.incarnation);
  }

  private poolOfServer(server: string): [string, PoolAllocator] | undefined {
    for (const entry of this.pools) {
      if (entry[1].servers.has(server)) return entry;
    }
    return undefined;
  }

  private findServer(server: string): HeldServer | undefined {
    return this.poolOfServer(server)?.[1].servers.get(server);
  }

  private ensurePool(name: string): PoolAllocator {
    const known = this.pools.get(name);
    if (known !== undefined) return known;
    const {view, counters, logger} = this.options;
    const pool = new PoolAllocator({
      pool: name,
      holder: view.self.incarnation,
      counters,
      logger,
      settings: () => view.settingsOf(name),
      instanceCount: () => view.members().length,
      createGrantId: () =>
        `${view.self.incarnation}/${(this.grantSequence += 1)}`,
    });
    this.pools.set(name, pool);
    return pool;
  }
}
