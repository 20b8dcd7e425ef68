/** Binds tasks to servers by a baseline policy, without grants. */
import type {Grant} from '@goldcrestpier/peers';
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {fits, type Resources} from '../fit/index.js';
import type {Binding, EndedGrant} from '../owner/binding.js';
import type {PoolQueue} from '../owner/pool_queue.js';
import type {PlacementView} from '../view.js';
import {chooseDirect, type DirectPolicy} from './choose_direct.js';

const MIN_RETRY_DELAY_MS = 5;
const MAX_RETRY_DELAY_MS = 15;
/** Upper bound of the random first turn. */
const MAX_FIRST_TURN = 100_000;

/** Options of `DirectBinding`. */
export interface DirectBindingOptions {
  readonly view: PlacementView;
  readonly policyOf: (pool: string) => DirectPolicy;
  /** Needs of the first `limit` waiting tasks; empty for runners. */
  readonly needsOf: (queue: PoolQueue, limit: number) => Resources[];
  /** Starts a waiting task; returns false when none waits. */
  readonly tryStart: (grant: Grant, now: Millis) => boolean;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Binds tasks using only the owner's local view. */
export class DirectBinding implements Binding {
  private readonly inFlight = new Map<string, number>();
  /** Starts at a random value, so that owners do not choose in lockstep. */
  private turn: number;

  constructor(private readonly options: DirectBindingOptions) {
    this.turn = Math.floor(options.random() * MAX_FIRST_TURN);
  }

  /** Sends waiting tasks while capacity seems to be left. */
  onQueueChange(queue: PoolQueue, now: Millis): void {
    const servers = this.liveServers(queue.pool);
    // Starts beyond the total capacity would only be rejected.
    const limit = countCapacity(servers);
    while (queue.waiting > 0 && this.countInFlight(servers) < limit) {
      const [needs] = this.options.needsOf(queue, 1);
      const server = this.choose(queue.pool, servers, needs);
      if (server === undefined) return;
      this.addInFlight(server.name, 1);
      if (this.options.tryStart(this.createGrant(server, needs), now)) continue;
      this.addInFlight(server.name, -1);
      return;
    }
  }

  /** Records the end of a start. */
  settle({grant}: EndedGrant): void {
    this.addInFlight(grant.server, -1);
  }

  /** A short random delay, so that owners do not retry at the same time. */
  retryDelayMs(): Millis {
    const range = MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS;
    return MIN_RETRY_DELAY_MS + this.options.random() * range;
  }

  private choose(
    pool: string,
    servers: readonly Server[],
    needs: Resources | undefined,
  ): Server | undefined {
    return chooseDirect(this.options.policyOf(pool), {
      servers: servers.filter(
        server => needs === undefined || fits(needs, server),
      ),
      inFlight: server => this.inFlight.get(server.name) ?? 0,
      random: this.options.random,
      turn: (this.turn += 1),
    });
  }

  private createGrant(server: Server, needs: Resources | undefined): Grant {
    return {
      grant: `direct/${this.turn}`,
      holder: this.options.view.self.incarnation,
      pool: server.pool,
      // No team: the owner's queue decides which team is served.
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
    return this.options.view
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

  private addInFlight(server: string, by: number): void {
    const total = (this.inFlight.get(server) ?? 0) + by;
    if (total > 0) this.inFlight.set(server, total);
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
