/**
 * The holder's side: this instance alone grants the free slots of the servers
 * it holds. A grant is a lease; two holders of one server do no harm, because
 * the server's own limit answers "busy".
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
import {HeldPool} from './held_pool.js';
import type {HeldGrant, HeldServer} from './held_server.js';

/** A grant that its owner does not list after this long is not in use. */
const UNLISTED_MS = 1_000;
/** A new holder does not wait longer than this for its peers' heartbeats. */
const LONGEST_UNHEARD_MS = 5_000;

/** What holding needs. */
export interface HoldingParts {
  readonly view: PlacementView;
  readonly peers: PlacementPeers;
  readonly counters: PlacementCounters;
  readonly logger: Logger;
  /** Takes grants of this holder to the tasks of this same instance. */
  readonly deliver: (grants: Grants, now: Millis) => void;
  /** Has `review` called soon: demand waits, and time may change the choice. */
  readonly reviewSoon: () => void;
}

/** Holds servers and grants their slots. */
export class Holding {
  private readonly pools = new Map<string, HeldPool>();
  private readonly gainedAt = new Map<string, Millis>();
  private lastGrant = 0;

  constructor(private readonly parts: HoldingParts) {}

  /** Takes an owner's demand and answers with what is free now. */
  demand(message: Demand, now: Millis): Grants {
    for (const told of message.pools) this.tell(message.owner, told, now);
    const pools = message.pools.map(({pool}) => pool);
    return this.grant(pools, message.owner, now);
  }

  /** Takes the ends of grants; the freed slots are granted on at once. */
  settle(message: Settlement, now: Millis): Grants {
    const pools = new Set<string>();
    for (const end of message.ends) {
      const pool = this.poolOf(end.server);
      if (pool === undefined) continue;
      pools.add(pool[0]);
      pool[1].settle(
        {...end, runMs: end.runMs, expectedMs: end.expectedMs},
        now,
      );
    }
    for (const told of message.demand ?? []) {
      this.tell(message.owner, told, now);
      pools.add(told.pool);
    }
    return this.grant(pools, message.owner, now);
  }

  /** Learns which of the held servers' grants a peer uses. */
  learnInUse(peer: string, inUse: Heartbeat['grantsInUse'], now: Millis): void {
    const listed = new Map(inUse.map(({grant, server}) => [grant, server]));
    for (const pool of this.pools.values()) {
      for (const held of pool.servers.values()) {
        held.unheard.delete(peer);
        for (const grant of held.grants.values()) {
          if (grant.owner !== peer) continue;
          if (listed.has(grant.id)) grant.confirmed = true;
          else if (now - grant.grantedAt > UNLISTED_MS) pool.drop(held, grant);
        }
      }
    }
    for (const [grant, server] of listed) this.adopt(peer, grant, server, now);
  }

  /** Takes up what members, servers and settings are now. */
  refresh(now: Millis): void {
    const {view} = this.parts;
    const self = view.self.incarnation;
    const peers = this.peerNames();
    const held = new Map<string, Server>();
    for (const server of view.servers()) {
      if (view.holderOf(server) === self) held.set(server.name, server);
    }
    for (const server of held.values()) {
      if (!this.gainedAt.has(server.name)) this.gainedAt.set(server.name, now);
      this.openPool(server.pool).hold(server, peers, now);
    }
    for (const pool of this.pools.values()) {
      for (const name of pool.servers.keys()) {
        if (held.has(name)) continue;
        pool.servers.delete(name);
        this.gainedAt.delete(name);
      }
    }
    this.forgetGone(new Set([self, ...peers]));
    this.pushFree(now);
  }

  /** Frees expired grants and looks again at what was held back. */
  tick(now: Millis): void {
    for (const pool of this.pools.values()) {
      pool.expire(now);
      for (const [name, held] of pool.servers) {
        const gainedAt = this.gainedAt.get(name) ?? now;
        if (now - gainedAt > LONGEST_UNHEARD_MS) held.unheard.clear();
      }
    }
    this.pushFree(now);
  }

  /** Looks again at demand that waits for faster servers. */
  review(now: Millis): void {
    this.pushFree(now);
  }

  /** Free capacity and prospects by pool, for the heartbeats. */
  spare(now: Millis): Heartbeat['spare'] {
    return this.prospects(this.pools.keys(), now).map(prospect => {
      const held = this.openPool(prospect.pool);
      // What is asked for already is not spare.
      const free = Math.max(held.freeAt(now) - held.demand.waiting, 0);
      return {...prospect, free};
    });
  }

  /** The held servers, for operators. */
  summarize(now: Millis): ServerSummary[] {
    const holder = this.parts.view.self.incarnation;
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

  private tell(owner: string, told: PoolDemand, now: Millis): void {
    this.openPool(told.pool).demand.replace(owner, told, now);
  }

  /** Grants in some pools; those for `asking` are the answer. */
  private grant(pools: Iterable<string>, asking: string, now: Millis): Grants {
    const answer: Grant[] = [];
    const pushed = new Map<string, Grant[]>();
    for (const name of pools) {
      const pool = this.pools.get(name);
      if (pool === undefined) continue;
      const granted = pool.allocate(now);
      if (pool.isHoldingBack(now)) this.parts.reviewSoon();
      for (const [owner, grants] of granted) {
        if (owner === asking) answer.push(...grants);
        else pushed.set(owner, [...(pushed.get(owner) ?? []), ...grants]);
      }
    }
    for (const [owner, grants] of pushed) this.push(owner, grants, now);
    return {grants: answer, prospects: this.prospects(pools, now)};
  }

  private pushFree(now: Millis): void {
    // No owner is asking, so that all grants are pushed.
    this.grant(this.pools.keys(), '', now);
  }

  /** What one more task may expect here. */
  private prospects(pools: Iterable<string>, now: Millis): Prospect[] {
    return [...pools]
      .map(name => this.openPool(name))
      .filter(({servers}) => servers.size > 0)
      .map(pool => pool.prospect(now));
  }

  private push(owner: string, list: Grant[], now: Millis): void {
    const {view, peers, counters, deliver, logger} = this.parts;
    const pools = new Set(list.map(({pool}) => pool));
    const grants = {grants: list, prospects: this.prospects(pools, now)};
    if (owner === view.self.incarnation) return deliver(grants, now);
    counters.sent(MessageKind.Offer, 1);
    peers.offer(owner, grants).catch(() => {
      // The grants expire by themselves: the owner may have got them.
      counters.wasted(WasteKind.LostMessage, 1);
      logger.debug('an offer was not taken', {owner});
    });
  }

  /** A grant of an earlier holder that is still in use. */
  private adopt(
    owner: string,
    grant: string,
    server: string,
    now: Millis,
  ): void {
    const held = this.heldServer(server);
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

  private forgetGone(seen: ReadonlySet<string>): void {
    for (const pool of this.pools.values()) {
      for (const owner of pool.demand.knownOwners) {
        if (!seen.has(owner)) pool.demand.forget(owner);
      }
      for (const held of pool.servers.values()) {
        for (const peer of held.unheard) {
          if (!seen.has(peer)) held.unheard.delete(peer);
        }
        for (const grant of held.grants.values()) {
          if (!seen.has(grant.owner)) held.grants.delete(grant.id);
        }
      }
    }
  }

  private peerNames(): string[] {
    const {view} = this.parts;
    return view
      .members()
      .map(({incarnation}) => incarnation)
      .filter(incarnation => incarnation !== view.self.incarnation);
  }

  private poolOf(server: string): [string, HeldPool] | undefined {
    for (const entry of this.pools) {
      if (entry[1].servers.has(server)) return entry;
    }
    return undefined;
  }

  private heldServer(server: string): HeldServer | undefined {
    return this.poolOf(server)?.[1].servers.get(server);
  }

  private openPool(name: string): HeldPool {
    const known = this.pools.get(name);
    if (known !== undefined) return known;
    const {view, counters, logger} = this.parts;
    const pool = new HeldPool({
      pool: name,
      holder: view.self.incarnation,
      counters,
      logger,
      settings: () => view.settingsOf(name),
      memberCount: () => view.members().length,
      createGrantId: () => `${view.self.incarnation}/${(this.lastGrant += 1)}`,
    });
    this.pools.set(name, pool);
    return pool;
  }
}
