/** Allocates the slots of one pool's held servers to the waiting owners. */
import {GrantEnd, type Grant, type Prospect} from '@goldcrestpier/peers';
import type {Server, ServerState} from '@goldcrestpier/platform';
import {BackendKind} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {WasteKind} from '../counters.js';
import type {HealthState} from '../ejection/index.js';
import {fits, type Resources} from '../fit/index.js';
import {chooseServer, isWorthStarting} from './choose_server.js';
import {DemandQueue, type Claim} from './demand_queue.js';
import {HeldServer, type HeldGrant} from './held_server.js';
import {PoolThroughput} from './pool_throughput.js';
import {ServerExclusions} from './server_exclusions.js';
import type {GrantReport, PoolAllocatorOptions} from './types.js';

/** Connections per runner, divided evenly between the entry instances. */
const MAX_RUNNER_CONNECTIONS = 56;
/** Upper bound of the estimated wait. */
const MAX_WAIT_ESTIMATE_MS = 60_000;
/** After this wait, needs that do not fit block all further grants. */
const STARVATION_MS = 1_000;
/** Used to check whether a worker has any free capacity. */
const SMALLEST_NEEDS: Resources = {
  processors: 1,
  memoryMb: 1,
  accelerators: 0,
};

/** Allocates the slots of one pool at its holder. */
export class PoolAllocator {
  readonly servers = new Map<string, HeldServer>();
  readonly demand = new DemandQueue();
  private readonly throughput = new PoolThroughput(this.servers);
  private readonly exclusions: ServerExclusions;

  constructor(private readonly options: PoolAllocatorOptions) {
    this.exclusions = new ServerExclusions(
      options,
      this.servers,
      this.throughput,
    );
  }

  /** Grants free slots in fair order. Returns the new grants by owner. */
  allocate(now: Millis): Map<string, Grant[]> {
    const granted = new Map<string, Grant[]>();
    const skipped = new Set<string>();
    for (;;) {
      const claim = this.demand.nextClaim(now, skipped);
      if (claim === undefined) {
        this.throughput.idle.record(this.demand.waiting === 0, now);
        return granted;
      }
      const grant = this.grantClaim(claim, now);
      if (grant === undefined) {
        if (this.isStarved(claim, now)) return granted;
        skipped.add(claim.owner);
        continue;
      }
      const grants = granted.get(claim.owner);
      if (grants === undefined) granted.set(claim.owner, [grant]);
      else grants.push(grant);
    }
  }

  /** Releases a grant that ended and records its outcome. */
  settle(report: GrantReport, now: Millis): void {
    const held = this.servers.get(report.server);
    if (held === undefined) return;
    held.endGrant(report.grant, now);
    this.recordOutcome(held, report, now);
    this.exclusions.recordEnd(held, report.end, now);
  }

  /** Adds a server, or updates its description. */
  upsertServer(server: Server, peers: Iterable<string>, now: Millis): void {
    const held = this.servers.get(server.name);
    if (held === undefined) {
      this.servers.set(server.name, new HeldServer(server, peers, now));
    } else {
      held.server = server;
    }
  }

  /** Releases grants that were neither used nor returned before they expired. */
  expireGrants(now: Millis): void {
    for (const held of this.servers.values()) {
      this.exclusions.reportFrozen(held, now);
      for (const grant of held.grants.values()) {
        if (!grant.confirmed && now >= grant.expiresAt) this.drop(held, grant);
      }
    }
  }

  /** Releases a grant that its owner does not use. */
  drop(held: HeldServer, grant: HeldGrant): void {
    held.grants.delete(grant.id);
    // It was used; its settlement is still in flight or was lost.
    if (grant.confirmed) return;
    this.demand.recordLostGrant(grant.owner);
    this.options.counters.wasted(WasteKind.ExpiredGrant, 1);
  }

  /** The state of a server, as shown to operators. */
  stateOf(held: HeldServer, now: Millis): HealthState | ServerState.Leaving {
    return this.exclusions.stateOf(held, now);
  }

  /** Number of slots that can be granted now. */
  freeSlots(now: Millis): number {
    let free = 0;
    for (const held of this.servers.values()) {
      if (this.exclusions.acceptsGrants(held, now)) free += held.freeSlots(now);
    }
    return Math.floor(free);
  }

  /** Whether tasks wait although a server has free capacity. */
  hasDeferredDemand(now: Millis): boolean {
    if (this.demand.waiting === 0) return false;
    return this.selectServer(undefined, SMALLEST_NEEDS, now) !== undefined;
  }

  /** Estimates wait, slot interval and speed for one more task. */
  prospect(now: Millis): Prospect {
    const {pool} = this.options;
    const {waiting} = this.demand;
    const freeServer = this.selectServer(undefined, SMALLEST_NEEDS, now);
    if (
      freeServer !== undefined &&
      waiting === 0 &&
      this.isStartWorthwhile(freeServer, 1, 0, now)
    ) {
      const everyMs = this.throughput.idleSlotIntervalMs;
      return {pool, waitMs: 0, everyMs, speed: freeServer.speed.speed};
    }
    const everyMs = this.throughput.slotIntervalMs(now);
    const waitMs = Math.min((waiting + 1) * everyMs, MAX_WAIT_ESTIMATE_MS);
    return {pool, waitMs, everyMs, speed: this.throughput.nextSlotSpeed};
  }

  /**
   * Whether to grant nothing more until this claim fits. Otherwise large needs
   * starve behind a stream of small ones that always fit.
   */
  private isStarved({needs: [needs], waitedMs}: Claim, now: Millis): boolean {
    if (needs === undefined || waitedMs < STARVATION_MS) return false;
    return [...this.servers.values()].some(
      held =>
        this.exclusions.acceptsGrants(held, now) && fits(needs, held.server),
    );
  }

  private grantClaim(claim: Claim, now: Millis): Grant | undefined {
    if (claim.needs.length === 0) return this.grantNeeds(claim, undefined, now);
    for (const needs of claim.needs) {
      const grant = this.grantNeeds(claim, needs, now);
      if (grant !== undefined) return grant;
    }
    return undefined;
  }

  private grantNeeds(
    claim: Claim,
    needs: Resources | undefined,
    now: Millis,
  ): Grant | undefined {
    const held = this.selectServer(claim.owner, needs, now);
    if (held === undefined) return undefined;
    const {waiting} = this.demand;
    if (!this.isStartWorthwhile(held, waiting, claim.waitedMs, now))
      return undefined;
    const settings = this.options.settings();
    const {grantMs} = settings.placement;
    const grant: HeldGrant = {
      id: this.options.createGrantId(),
      owner: claim.owner,
      pool: this.options.pool,
      team: claim.team,
      needs,
      grantedAt: now,
      expiresAt: now + grantMs,
      confirmed: false,
    };
    held.grants.set(grant.id, grant);
    this.demand.recordGrant(claim, needs, settings.fairness.weights);
    return {
      grant: grant.id,
      holder: this.options.holder,
      pool: grant.pool,
      team: grant.team,
      server: held.server.name,
      kind: held.server.kind,
      address: held.server.address,
      speed: held.speed.speed,
      ...(needs === undefined ? {} : {needs: {...needs}}),
      expiresInMs: grantMs,
    };
  }

  private selectServer(
    owner: string | undefined,
    needs: Resources | undefined,
    now: Millis,
  ): HeldServer | undefined {
    const instanceCount = Math.max(this.options.instanceCount(), 1);
    const maxPerOwner = Math.max(
      Math.floor(MAX_RUNNER_CONNECTIONS / instanceCount),
      1,
    );
    return chooseServer({
      servers: this.servers.values(),
      needs,
      accepts: server =>
        this.exclusions.acceptsGrants(server, now) &&
        server.hasCapacity(needs, instanceCount, now) &&
        (server.server.kind === BackendKind.Worker ||
          owner === undefined ||
          server.countGrantsOf(owner) < maxPerOwner),
    });
  }

  /** Whether a start there is better than waiting for a faster server. */
  private isStartWorthwhile(
    held: HeldServer,
    waiting: number,
    waitedMs: Millis,
    now: Millis,
  ): boolean {
    return isWorthStarting({
      speed: held.speed.speed,
      meanSpeed: this.throughput.meanSpeed,
      meanRunMs: this.throughput.meanRunMs,
      waiting,
      completionsPerMs: this.throughput.completionsPerMs(now),
      waitedMs,
      idleShare: this.throughput.idle.share,
    });
  }

  private recordOutcome(
    held: HeldServer,
    report: GrantReport,
    now: Millis,
  ): void {
    const {end, runMs, expectedMs} = report;
    if (end === GrantEnd.Busy) return held.applyBusyLimit(now);
    if (end === GrantEnd.Leaving) return held.markLeaving(now);
    if (end === GrantEnd.Done || end === GrantEnd.Failed) {
      held.resetBusyBackoff();
      this.throughput.recordCompletion(runMs, now);
    }
    if (end !== GrantEnd.Done || runMs === undefined) return;
    if (expectedMs !== undefined) held.speed.record(runMs, expectedMs);
  }
}
