/** Ejects servers of one pool in one zone, up to a share of its servers. */
import {GrantEnd} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {EjectionReason} from '../counters.js';
import {FailureShare} from './failure_share.js';
import {
  HealthState,
  type EjectionRules,
  type ServerHealth,
} from './server_health.js';

/** Options of `PoolEjections`. */
export interface PoolEjectionsOptions {
  readonly healths: () => readonly ServerHealth[];
  readonly rules: () => EjectionRules & {readonly maxShare: number};
}

/** Decides which servers of a pool are ejected. */
export class PoolEjections {
  private readonly failures = new FailureShare();

  constructor(private readonly options: PoolEjectionsOptions) {}

  /** Records the end of a grant. Returns the reason if it ejects the server. */
  record(
    health: ServerHealth,
    end: GrantEnd,
    now: Millis,
  ): EjectionReason | undefined {
    if (end === GrantEnd.Done || end === GrantEnd.Failed) {
      this.failures.record(end === GrantEnd.Failed);
    }
    const rules = this.options.rules();
    const reason = health.record(end, rules, now);
    if (reason === undefined) return undefined;
    if (!this.canEject(health, reason, now)) return undefined;
    health.eject(rules, now);
    return reason;
  }

  private canEject(
    health: ServerHealth,
    reason: EjectionReason,
    now: Millis,
  ): boolean {
    // The server already gets no regular work, and its probe failed.
    if (health.stateAt(now) === HealthState.Probing) return true;
    if (reason === EjectionReason.Failed && this.failures.isPoolWide) {
      return false;
    }
    const healths = this.options.healths();
    const unavailable = healths.filter(
      each => each.stateAt(now) !== HealthState.Live,
    ).length;
    const maxUnavailable = Math.floor(
      healths.length * this.options.rules().maxShare,
    );
    return unavailable < Math.max(maxUnavailable, 1);
  }
}
