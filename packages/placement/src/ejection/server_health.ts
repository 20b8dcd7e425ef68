/**
 * Whether one server gets new work. Failures in a row eject it for a time that
 * doubles; then one probe at a time decides whether it comes back.
 */
import {GrantEnd} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {EjectionReason} from '../counters.js';

/** How a server is ejected; from the settings. */
export interface EjectionRules {
  readonly failures: number;
  readonly baseMs: Millis;
  readonly maxMs: Millis;
}

/** Where a server stands. */
export enum HealthState {
  Live = 'live',
  Ejected = 'ejected',
  /** Its time away is over; one probe at a time. */
  Probing = 'probing',
}

/** A lost answer or connection counts more than a failed task. */
const LOST_WEIGHT = 2;

/** Follows how one server's starts end. */
export class ServerHealth {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil: Millis | undefined;

  /** Where the server stands. */
  stateAt(now: Millis): HealthState {
    if (this.ejectedUntil === undefined) return HealthState.Live;
    return now < this.ejectedUntil ? HealthState.Ejected : HealthState.Probing;
  }

  /** Counts an end; the reason when it calls for an ejection. */
  record(
    end: GrantEnd,
    rules: EjectionRules,
    now: Millis,
  ): EjectionReason | undefined {
    switch (end) {
      case GrantEnd.Done:
        this.restore();
        return undefined;
      case GrantEnd.Failed:
        return this.countFailure(EjectionReason.Failed, 1, rules, now);
      case GrantEnd.Unreachable:
        return this.countFailure(
          EjectionReason.Unreachable,
          LOST_WEIGHT,
          rules,
          now,
        );
      case GrantEnd.Unknown:
        return this.countFailure(
          EjectionReason.Unknown,
          LOST_WEIGHT,
          rules,
          now,
        );
      case GrantEnd.Busy:
      case GrantEnd.Leaving:
      case GrantEnd.Returned:
      case GrantEnd.Stopped:
        return undefined;
    }
  }

  /** Keeps the server from new work for a time. */
  eject(rules: EjectionRules, now: Millis): void {
    const awayMs = Math.min(rules.baseMs * 2 ** this.ejections, rules.maxMs);
    this.ejections += 1;
    this.failures = 0;
    this.ejectedUntil = now + awayMs;
  }

  private countFailure(
    reason: EjectionReason,
    weight: number,
    rules: EjectionRules,
    now: Millis,
  ): EjectionReason | undefined {
    const state = this.stateAt(now);
    // What was under way when it was ejected says nothing new.
    if (state === HealthState.Ejected) return undefined;
    this.failures += weight;
    const enough =
      state === HealthState.Probing || this.failures >= rules.failures;
    return enough ? reason : undefined;
  }

  private restore(): void {
    this.failures = 0;
    this.ejections = 0;
    this.ejectedUntil = undefined;
  }
}
