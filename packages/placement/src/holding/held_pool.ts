/** The held servers of one pool, the demand for them, and grants of them. */
import {GrantEnd, type Grant, type Prospect} from '@goldcrestpier/peers';
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {EjectionReason, WasteKind} from '../counters.js';
import {HealthState, PoolEjections} from '../ejection/index.js';
import {fits, type Resources} from '../fit/index.js';
import {chooseServer, isWorthStarting} from './choose_server.js';
import {DemandBook, type Claim} from './demand_book.js';
import {HeldServer, type HeldGrant} from './held_server.js';
import {PoolPace} from './pool_pace.js';
import type {GrantReport, HeldPoolParts} from './types.js';

/** A server is taken for frozen after this many mean run times... */
const FROZEN_RUNS = 8;
/** ...but not before this. */
const LEAST_FROZEN_MS = 1_500;
/** Connections of a runner that the entry instances share between them. */
const RUNNER_CONNECTIONS = 56;
const LONGEST_WAIT_MS = 60_000;
/** Needs that do not fit for this long go before all others. */
const STARVED_MS = 1_000;
/** To see whether a worker has any room at all. */
const SMALLEST_NEEDS: Resources = {
  processors: 1,
  memoryMb: 1,
  accelerators: 0,
};

/** The holder's side of one pool. */
export class HeldPool {
  readonly servers = new Map<string, HeldServer>();
  readonly demand = new DemandBook();
  private readonly ejections: PoolEjections;
  private readonly pace = new PoolPace(this.servers);

  constructor(private readonly parts: HeldPoolParts) {
    this.ejections = new PoolEjections({
      healths: () => [...this.servers.values()].map(({health}) => health),
      rules: () => parts.settings().ejection,
    });
  }

  /** Grants what is free to those whose turn it is. */
  allocate(now: Millis): Map<string, Grant[]> {
    const granted = new Map<string, Grant[]>();
    const skipped = new Set<string>();
    for (;;) {
      const claim = this.demand.next(now, skipped);
      if (claim === undefined) {
        this.pace.idle.record(this.demand.waiting === 0, now);
        return granted;
      }
      const grant = this.grantTo(claim, now);
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

  /** Learns from the end of a grant and frees what it took. */
  settle(report: GrantReport, now: Millis): void {
    const held = this.servers.get(report.server);
    if (held === undefined) return;
    held.end(report.grant, now);
    this.learn(held, report, now);
    const reason = this.ejections.record(held.health, report.end, now);
    if (reason !== undefined) this.noteEjection(held, reason);
  }

  /** Takes over a server, or its newer description. */
  hold(server: Server, peers: Iterable<string>, now: Millis): void {
    const held = this.servers.get(server.name);
    if (held === undefined) {
      this.servers.set(server.name, new HeldServer(server, peers, now));
    } else {
      held.server = server;
    }
  }

  /** Frees grants that were neither used nor returned in their time. */
  expire(now: Millis): void {
    for (const held of this.servers.values()) {
      this.countFrozen(held, now);
      for (const grant of held.grants.values()) {
        if (!grant.confirmed && now >= grant.expiresAt) this.drop(held, grant);
      }
    }
  }

  /** Frees a grant that its owner does not use. */
  drop(held: HeldServer, grant: HeldGrant): void {
    held.grants.delete(grant.id);
    // It was used, and its settlement is under way or was lost.
    if (grant.confirmed) return;
    this.demand.forgetSent(grant.owner);
    this.parts.counters.wasted(WasteKind.ExpiredGrant, 1);
  }

  /** Where a server stands. */
  stateOf(held: HeldServer, now: Millis): HealthState | ServerState.Leaving {
    if (held.isLeaving(now)) return ServerState.Leaving;
    return held.health.stateAt(now);
  }

  /** Slots that may be granted now. */
  freeAt(now: Millis): number {
    let free = 0;
    for (const held of this.servers.values()) {
      if (this.takesNew(held, now)) free += held.free(now);
    }
    return Math.floor(free);
  }

  /** Whether tasks wait although there is room. */
  isHoldingBack(now: Millis): boolean {
    if (this.demand.waiting === 0) return false;
    return this.chooseFor(undefined, SMALLEST_NEEDS, now) !== undefined;
  }

  /** What one more task may expect here. */
  prospect(now: Millis): Prospect {
    const {pool} = this.parts;
    const {waiting} = this.demand;
    const free = this.chooseFor(undefined, SMALLEST_NEEDS, now);
    if (free !== undefined && waiting === 0 && this.isWorth(free, 1, 0, now)) {
      const everyMs = this.pace.everyMsIfFree;
      return {pool, waitMs: 0, everyMs, speed: free.speed.speed};
    }
    const everyMs = this.pace.everyMs(now);
    const waitMs = Math.min((waiting + 1) * everyMs, LONGEST_WAIT_MS);
    return {pool, waitMs, everyMs, speed: this.pace.nextSpeed};
  }

  /**
   * Whether nothing more is granted until this claim fits: large needs would
   * otherwise wait for ever behind small ones that always do.
   */
  private isStarved({needs: [needs], waitedMs}: Claim, now: Millis): boolean {
    if (needs === undefined || waitedMs < STARVED_MS) return false;
    return [...this.servers.values()].some(
      held => this.takesNew(held, now) && fits(needs, held.server),
    );
  }

  private grantTo(claim: Claim, now: Millis): Grant | undefined {
    if (claim.needs.length === 0) return this.grantFor(claim, undefined, now);
    for (const needs of claim.needs) {
      const grant = this.grantFor(claim, needs, now);
      if (grant !== undefined) return grant;
    }
    return undefined;
  }

  private grantFor(
    claim: Claim,
    needs: Resources | undefined,
    now: Millis,
  ): Grant | undefined {
    const held = this.chooseFor(claim.owner, needs, now);
    if (held === undefined) return undefined;
    const {waiting} = this.demand;
    if (!this.isWorth(held, waiting, claim.waitedMs, now)) return undefined;
    const settings = this.parts.settings();
    const {grantMs} = settings.placement;
    const grant: HeldGrant = {
      id: this.parts.createGrantId(),
      owner: claim.owner,
      pool: this.parts.pool,
      team: claim.team,
      needs,
      grantedAt: now,
      expiresAt: now + grantMs,
      confirmed: false,
    };
    held.grants.set(grant.id, grant);
    this.demand.grant(claim, needs, settings.fairness.weights);
    return {
      grant: grant.id,
      holder: this.parts.holder,
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

  private chooseFor(
    owner: string | undefined,
    needs: Resources | undefined,
    now: Millis,
  ): HeldServer | undefined {
    const members = Math.max(this.parts.memberCount(), 1);
    const mostOfOwner = Math.max(Math.floor(RUNNER_CONNECTIONS / members), 1);
    return chooseServer({
      servers: this.servers.values(),
      needs,
      admits: server =>
        this.takesNew(server, now) &&
        server.hasRoom(needs, members, now) &&
        (server.server.kind === BackendKind.Worker ||
          owner === undefined ||
          server.countOf(owner) < mostOfOwner),
    });
  }

  /** Whether a start there is better than to wait for a faster server. */
  private isWorth(
    held: HeldServer,
    waiting: number,
    waitedMs: Millis,
    now: Millis,
  ): boolean {
    return isWorthStarting({
      speed: held.speed.speed,
      typicalSpeed: this.pace.typicalSpeed,
      meanRunMs: this.pace.meanRunMs,
      waiting,
      endsPerMs: this.pace.measuredEndsPerMs(now),
      waitedMs,
      idleShare: this.pace.idle.share,
    });
  }

  private takesNew(held: HeldServer, now: Millis): boolean {
    if (held.isLeaving(now)) return false;
    if (held.isFrozen(this.frozenMs, now)) return false;
    switch (held.health.stateAt(now)) {
      case HealthState.Live:
        return true;
      case HealthState.Probing:
        return held.grants.size === 0;
      case HealthState.Ejected:
        return false;
    }
  }

  private countFrozen(held: HeldServer, now: Millis): void {
    const isFrozen = held.isFrozen(this.frozenMs, now);
    if (isFrozen && !held.wasFrozen) {
      this.noteEjection(held, EjectionReason.Frozen);
    }
    held.wasFrozen = isFrozen;
  }

  private noteEjection(held: HeldServer, reason: EjectionReason): void {
    const {counters, logger, pool} = this.parts;
    counters.ejected(reason, pool);
    const {name: server} = held.server;
    logger.warn('a server gets nothing new for now', {server, pool, reason});
  }

  private learn(held: HeldServer, report: GrantReport, now: Millis): void {
    const {end, runMs, expectedMs} = report;
    if (end === GrantEnd.Busy) return held.lowerBelief(now);
    if (end === GrantEnd.Leaving) return held.noteLeaving(now);
    if (end === GrantEnd.Done || end === GrantEnd.Failed) {
      held.raiseBelief();
      this.pace.recordEnd(runMs, now);
    }
    if (end !== GrantEnd.Done || runMs === undefined) return;
    if (expectedMs !== undefined) held.speed.record(runMs, expectedMs);
  }

  private get frozenMs(): Millis {
    return Math.max(FROZEN_RUNS * this.pace.meanRunMs, LEAST_FROZEN_MS);
  }
}
