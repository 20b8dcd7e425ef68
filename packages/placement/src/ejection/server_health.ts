/**
 * Health of one server. Consecutive failures eject it for a time that doubles
 * with each ejection. After that, it gets one probe at a time until a probe
 * succeeds.
 */
import {GrantEnd} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {EjectionReason} from '../counters.js';

/** When and for how long a server is ejected, from the settings. */
export interface EjectionRules {
  /** Consecutive failures that eject a server. */
  readonly failures: number;
  /** Duration of the first ejection. */
  readonly baseMs: Millis;
  /** Upper bound of the duration. */
  readonly maxMs: Millis;
}

/** Health of a server. */
export enum HealthState {
  Live = 'live',
  Ejected = 'ejected',
  /** The ejection is over; the server gets one probe at a time. */
  Probing = 'probing',
}

/** Weight of a lost answer or connection; a failed task counts as 1. */
const LOST_ANSWER_WEIGHT = 2;

/** Tracks the outcomes of the starts on one server. */
export class ServerHealth {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil: Millis | undefined;

  /** The health at the given time. */
  stateAt(now: Millis): HealthState {
    if (this.ejectedUntil === undefined) return HealthState.Live;
    return now < this.ejectedUntil ? HealthState.Ejected : HealthState.Probing;
  }

  /** Records an end. Returns the reason if it should eject the server. */
  record(
    end: GrantEnd,
    rules: EjectionRules,
    now: Millis,
  ): EjectionReason | undefined {
    switch (end) {
      case GrantEnd.Done:
        this.reset();
        return undefined;
      case GrantEnd.Failed:
        return this.countFailure(EjectionReason.Failed, 1, rules, now);
      case GrantEnd.Unreachable:
        return this.countFailure(
          EjectionReason.Unreachable,
          LOST_ANSWER_WEIGHT,
          rules,
          now,
        );
      case GrantEnd.Unknown:
        return this.countFailure(
          EjectionReason.Unknown,
          LOST_ANSWER_WEIGHT,
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

  /** Ejects the server; the duration doubles each time, up to `maxMs`. */
  eject(rules: EjectionRules, now: Millis): void {
    const ejectionMs = Math.min(
      rules.baseMs * 2 ** this.ejections,
      rules.maxMs,
    );
    this.ejections += 1;
    this.failures = 0;
    this.ejectedUntil = now + ejectionMs;
  }

  private countFailure(
    reason: EjectionReason,
    weight: number,
    rules: EjectionRules,
    now: Millis,
  ): EjectionReason | undefined {
    const state = this.stateAt(now);
    // Starts in flight at the ejection carry no new information.
    if (state === HealthState.Ejected) return undefined;
    this.failures += weight;
    const shouldEject =
      state === HealthState.Probing || this.failures >= rules.failures;
    return shouldEject ? reason : undefined;
  }

  private reset(): void {
    this.failures = 0;
    this.ejections = 0;
    this.ejectedUntil = undefined;
  }
}
