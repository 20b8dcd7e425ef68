/** Ejections in one pool of one zone, bounded to a share of its servers. */
import {GrantEnd} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {EjectionReason} from '../counters.js';
import {FailureShare} from './failure_share.js';
import {
  HealthState,
  type EjectionRules,
  type ServerHealth,
} from './server_health.js';

/** What ejections of a pool need. */
export interface PoolEjectionsParts {
  readonly healths: () => readonly ServerHealth[];
  readonly rules: () => EjectionRules & {readonly maxShare: number};
}

/** Decides on ejections, server by server. */
export class PoolEjections {
  private readonly failures = new FailureShare();

  constructor(private readonly parts: PoolEjectionsParts) {}

  /** Learns from one end on one server; the reason when that ejects it. */
  record(
    health: ServerHealth,
    end: GrantEnd,
    now: Millis,
  ): EjectionReason | undefined {
    if (end === GrantEnd.Done || end === GrantEnd.Failed) {
      this.failures.record(end === GrantEnd.Failed);
    }
    const rules = this.parts.rules();
    const reason = health.record(end, rules, now);
    if (reason === undefined) return undefined;
    if (!this.mayEject(health, reason, now)) return undefined;
    health.eject(rules, now);
    return reason;
  }

  private mayEject(
    health: ServerHealth,
    reason: EjectionReason,
    now: Millis,
  ): boolean {
    // It is away already, and its probe failed.
    if (health.stateAt(now) === HealthState.Probing) return true;
    if (reason === EjectionReason.Failed && this.failures.isCommon) {
      return false;
    }
    const healths = this.parts.healths();
    const away = healths.filter(
      each => each.stateAt(now) !== HealthState.Live,
    ).length;
    const mostAway = Math.floor(healths.length * this.parts.rules().maxShare);
    return away < Math.max(mostAway, 1);
  }
}
