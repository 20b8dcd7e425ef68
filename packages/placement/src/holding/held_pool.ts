/** The held servers of one pool, the demand for them, and grants of them. */
import type {Grant, GrantEnd} from '@goldcrestpier/peers';
import {GrantEnd as End} from '@goldcrestpier/peers';
import {ServerState, type Server} from '@goldcrestpier/platform';
import type {Millis} from '@goldcrestpier/runtime';
import type {EffectiveSettings} from '@goldcrestpier/settings';
import {
  EjectionReason,
  WasteKind,
  type PlacementCounters,
} from '../counters.js';
import {FailureShare, HealthState} from '../ejection/index.js';
import type {Resources} from '../fit/index.js';
import {chooseServer, isWorthStarting} from './choose_server.js';
import {DemandBook, type Claim} from './demand_book.js';
import {EndRate} from './end_rate.js';
import {HeldServer, type HeldGrant} from './held_server.js';

/** A server is taken for frozen after this many mean run times... */
const FROZEN_RUNS = 8;
/** ...but not before this. */
const LEAST_FROZEN_MS = 1_500;
/** One entry instance opens no more connections to a runner than this. */
const GRANTS_PER_OWNER = 7;
const DEFAULT_RUN_MS = 300;

/** What a pool of held servers needs from its surroundings. */
export interface HeldPoolParts {
  readonly pool: string;
  readonly holder: string;
  readonly counters: PlacementCounters;
  readonly settings: () => EffectiveSettings;
  /** Instances seen, this one with them. */
  readonly memberCount: () => number;
  readonly createGrantId: () => string;
}

/** How one grant ended, as its owner tells it. */
export interface GrantReport {
  readonly grant: string;
  readonly server: string;
  readonly end: GrantEnd;
  readonly runMs: Millis | undefined;
  readonly expectedMs: Millis | undefined;
}

/** The holder's side of one pool. */
export class HeldPool {
  readonly servers = new Map<string, HeldServer>();
  readonly demand = new DemandBook();
  private readonly failures = new FailureShare();
  private readonly ends = new EndRate();

  constructor(private readonly parts: HeldPoolParts) {}

  /** Grants what is free to those whose turn it is. */
  allocate(now: Millis): Map<string, Grant[]> {
    const granted = new Map<string, Grant[]>();
    const skipped = new Set<string>();
    for (;;) {
      const claim = this.demand.next(now, skipped);
      if (claim === undefined) return granted;
      const grant = this.grantTo(claim, now);
      if (grant === undefined) {
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
    const reason = held.health.record(report.end, this.rules, now);
    if (reason !== undefined) this.eject(held, reason, now);
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
      for (const grant of held.grants.values()) {
        if (!grant.confirmed && now >= grant.expiresAt) this.drop(held, grant);
      }
    }
  }

  /** Frees a grant that its owner does not use. */
  drop(held: HeldServer, grant: HeldGrant): void {
    held.grants.delete(grant.id);
    this.demand.forgetSent(grant.owner);
    this.parts.counters.wasted(WasteKind.ExpiredGrant, 1);
  }

  /** Where a server stands. */
  stateOf(held: HeldServer, now: Millis): HealthState | ServerState.Leaving {
    return isLeaving(held) ? ServerState.Leaving : held.health.stateAt(now);
  }

  /** Slots that may be granted now. */
  freeAt(now: Millis): {free: number; speed: number} {
    let free = 0;
    let speed = 0;
    for (const held of this.servers.values()) {
      if (!this.takesNew(held, now)) continue;
      const room = held.free(now);
      free += room;
      if (room > 0) speed = Math.max(speed, held.speed.speed);
    }
    return {free: Math.floor(free), speed};
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
    const members = this.parts.memberCount();
    const held = chooseServer({
      servers: this.servers.values(),
      needs,
      admits: server =>
        this.takesNew(server, now) &&
        server.hasRoom(needs, members, now) &&
        (needs !== undefined || server.countOf(claim.owner) < GRANTS_PER_OWNER),
    });
    if (held === undefined || !this.isWorth(held, claim, now)) return undefined;
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

  private isWorth(held: HeldServer, claim: Claim, now: Millis): boolean {
    return isWorthStarting({
      speed: held.speed.speed,
      typicalSpeed: this.typicalSpeed,
      meanRunMs: this.ends.meanRunMs ?? DEFAULT_RUN_MS,
      waiting: this.demand.waiting,
      endsPerMs: this.ends.perMs(now),
      waitedMs: claim.waitedMs,
    });
  }

  /** Mean speed of the grants in use; that of nothing in use is 0. */
  private get typicalSpeed(): number {
    let sum = 0;
    let count = 0;
    for (const held of this.servers.values()) {
      sum += held.speed.speed * held.grants.size;
      count += held.grants.size;
    }
    return count > 0 ? sum / count : 0;
  }

  private takesNew(held: HeldServer, now: Millis): boolean {
    if (isLeaving(held)) return false;
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

  private learn(held: HeldServer, report: GrantReport, now: Millis): void {
    const {end, runMs, expectedMs} = report;
    if (end === End.Busy) return held.lowerBelief(now);
    if (end === End.Leaving) {
      held.leaving = true;
      return;
    }
    if (end === End.Done || end === End.Failed) {
      held.raiseBelief();
      this.failures.record(end === End.Failed);
      this.ends.record(runMs, now);
    }
    if (end !== End.Done || runMs === undefined) return;
    if (expectedMs !== undefined) held.speed.record(runMs, expectedMs);
  }

  private eject(held: HeldServer, reason: EjectionReason, now: Millis): void {
    const isTasks = reason === EjectionReason.Failed && this.failures.isCommon;
    const mayLeave = this.countAway(now) + 1 <= this.mostAway;
    const isProbe = held.health.stateAt(now) === HealthState.Probing;
    if (!isProbe && (isTasks || !mayLeave)) return;
    held.health.eject(this.rules, now);
    this.parts.counters.ejected(reason, this.parts.pool);
  }

  private countAway(now: Millis): number {
    let away = 0;
    for (const held of this.servers.values()) {
      if (held.health.stateAt(now) !== HealthState.Live) away += 1;
    }
    return away;
  }

  private get mostAway(): number {
    const {maxShare} = this.rules;
    return Math.max(Math.floor(this.servers.size * maxShare), 1);
  }

  private get rules(): EffectiveSettings['ejection'] {
    return this.parts.settings().ejection;
  }

  private get frozenMs(): Millis {
    const meanRunMs = this.ends.meanRunMs ?? DEFAULT_RUN_MS;
    return Math.max(FROZEN_RUNS * meanRunMs, LEAST_FROZEN_MS);
  }
}

function isLeaving(held: HeldServer): boolean {
  return held.leaving || held.server.state === ServerState.Leaving;
}
