/** The pools whose servers this instance holds, and the servers in them. */
import type {Server} from '@goldcrestpier/platform';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {PlacementCounters} from '../counters.js';
import type {PlacementView} from '../view.js';
import type {HeldServer} from './held_server.js';
import {PoolAllocator} from './pool_allocator.js';

/** Longest time a new holder waits for the heartbeats of its peers. */
const REPORT_TIMEOUT_MS = 5_000;

/** Options of `HeldPools`. */
export interface HeldPoolsOptions {
  readonly view: PlacementView;
  readonly counters: PlacementCounters;
  readonly logger: Logger;
}

/** The allocators of the pools, by name. */
export class HeldPools implements Iterable<PoolAllocator> {
  private readonly pools = new Map<string, PoolAllocator>();
  private readonly heldAt = new Map<string, Millis>();
  private grantSequence = 0;

  constructor(private readonly options: HeldPoolsOptions) {}

  /** Iterates over the allocators of all pools. */
  [Symbol.iterator](): Iterator<PoolAllocator> {
    return this.pools.values();
  }

  /** The names of all pools. */
  names(): Iterable<string> {
    return this.pools.keys();
  }

  /** The allocator of a pool; undefined if the pool is not known. */
  find(name: string): PoolAllocator | undefined {
    return this.pools.get(name);
  }

  /** Returns the allocator of a pool; creates one for an unknown pool. */
  ensure(name: string): PoolAllocator {
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

  /** Finds the pool of a held server. */
  findByServer(server: string): [string, PoolAllocator] | undefined {
    for (const entry of this.pools) {
      if (entry[1].servers.has(server)) return entry;
    }
    return undefined;
  }

  /** Finds a held server. */
  findServer(server: string): HeldServer | undefined {
    return this.findByServer(server)?.[1].servers.get(server);
  }

  /** Applies changes of members, servers and settings. */
  refresh(now: Millis): void {
    const {view} = this.options;
    const self = view.self.incarnation;
    const peers = this.peerIncarnations();
    const heldServers = this.listHeldServers();
    for (const server of heldServers.values()) {
      if (!this.heldAt.has(server.name)) this.heldAt.set(server.name, now);
      this.ensure(server.pool).upsertServer(server, peers, now);
    }
    for (const pool of this.pools.values()) {
      for (const name of pool.servers.keys()) {
        if (heldServers.has(name)) continue;
        pool.servers.delete(name);
        this.heldAt.delete(name);
      }
    }
    this.removeDeparted(new Set([self, ...peers]));
  }

  /** Releases expired grants, and stops waiting for reports that are late. */
  expire(now: Millis): void {
    for (const pool of this.pools.values()) {
      pool.expireGrants(now);
      for (const [name, held] of pool.servers) {
        const heldAt = this.heldAt.get(name) ?? now;
        if (now - heldAt > REPORT_TIMEOUT_MS) held.unreportedPeers.clear();
      }
    }
  }

  private listHeldServers(): Map<string, Server> {
    const {view} = this.options;
    const held = new Map<string, Server>();
    for (const server of view.servers()) {
      if (view.holderOf(server) !== view.self.incarnation) continue;
      held.set(server.name, server);
    }
    return held;
  }

  private peerIncarnations(): string[] {
    const {view} = this.options;
    return view
      .members()
      .map(({incarnation}) => incarnation)
      .filter(incarnation => incarnation !== view.self.incarnation);
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
}
