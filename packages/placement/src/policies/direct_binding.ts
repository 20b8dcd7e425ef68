/** Binds tasks by one of the baselines, without grants. */
import type {Grant} from '@goldcrestpier/peers';
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {fits, type Resources} from '../fit/index.js';
import type {Binding, EndedGrant} from '../owner/binding.js';
import type {PoolQueue} from '../owner/pool_queue.js';
import type {PlacementView} from '../view.js';
import {chooseDirect, type DirectPolicy} from './choose_direct.js';

const SHORTEST_PAUSE_MS = 5;
const LONGEST_PAUSE_MS = 15;
const MOST_SERVERS = 100_000;

/** What a baseline needs. */
export interface DirectBindingParts {
  readonly view: PlacementView;
  readonly policyOf: (pool: string) => DirectPolicy;
  readonly needsOf: (queue: PoolQueue, limit: number) => Resources[];
  /** Starts a waiting task; false when none waits. */
  readonly use: (grant: Grant, now: Millis) => boolean;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Binds tasks by what this owner sees alone. */
export class DirectBinding implements Binding {
  private readonly inFlight = new Map<string, number>();
  /** Starts anywhere, so that owners do not take turns in step. */
  private turn: number;

  constructor(private readonly parts: DirectBindingParts) {
    this.turn = Math.floor(parts.random() * MOST_SERVERS);
  }

  /** Sends what waits. */
  wake(queue: PoolQueue, now: Millis): void {
    const servers = this.liveServers(queue.pool);
    // More than all slots at once could only be turned down.
    const limit = countCapacity(servers);
    while (queue.waiting > 0 && this.countInFlight(servers) < limit) {
      const [needs] = this.parts.needsOf(queue, 1);
      const server = this.choose(queue.pool, servers, needs);
      if (server === undefined) return;
      this.count(server.name, 1);
      if (this.parts.use(this.createGrant(server, needs), now)) continue;
      this.count(server.name, -1);
      return;
    }
  }

  /** A start ended. */
  settle({grant}: EndedGrant): void {
    this.count(grant.server, -1);
  }

  /** A short random pause, so that owners do not come back together. */
  pauseMs(): Millis {
    const range = LONGEST_PAUSE_MS - SHORTEST_PAUSE_MS;
    return SHORTEST_PAUSE_MS + this.parts.random() * range;
  }

  private choose(
    pool: string,
    servers: readonly Server[],
    needs: Resources | undefined,
  ): Server | undefined {
    return chooseDirect(this.parts.policyOf(pool), {
      servers: servers.filter(
        server => needs === undefined || fits(needs, server),
      ),
      inFlight: server => this.inFlight.get(server.name) ?? 0,
      random: this.parts.random,
      turn: (this.turn += 1),
    });
  }

  private createGrant(server: Server, needs: Resources | undefined): Grant {
    return {
      grant: `direct/${this.turn}`,
      holder: this.parts.view.self.incarnation,
      pool: server.pool,
      // No team: the owner's own queue says whose turn it is.
      team: '',
      server: server.name,
      kind: server.kind,
      address: server.address,
      speed: 1,
      ...(needs === undefined ? {} : {needs: {...needs}}),
      expiresInMs: 1,
    };
  }

  private liveServers(pool: string): Server[] {
    return this.parts.view
      .servers()
      .filter(server => server.pool === pool)
      .filter(server => server.state === ServerState.Live);
  }

  private countInFlight(servers: readonly Server[]): number {
    return servers.reduce(
      (sum, {name}) => sum + (this.inFlight.get(name) ?? 0),
      0,
    );
  }

  private count(server: string, by: number): void {
    const count = (this.inFlight.get(server) ?? 0) + by;
    if (count > 0) this.inFlight.set(server, count);
    else this.inFlight.delete(server);
  }
}

function countCapacity(servers: readonly Server[]): number {
  return servers.reduce(
    (sum, server) =>
      sum +
      (server.kind === BackendKind.Runner ? server.slots : server.processors),
    0,
  );
}
