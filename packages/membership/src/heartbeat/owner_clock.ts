/**
 * The clocks of other instances as last heard. A relay puts its owner's clock
 * of the time when a request arrived into the submission, so that the owner
 * can bound the submission's age without a common clock.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {BoundedMap} from '../view/index.js';

/** Incarnations whose clocks are remembered. */
const MAX_INCARNATIONS = 5_000;
/** Readings of one clock that are remembered, and how far apart they are. */
const MAX_READINGS = 16;
const SPACING_MS = 100;

interface Reading {
  readonly heardAt: Millis;
  readonly sentAt: Millis;
}

/** Keeps the last readings of each instance's clock. */
export class OwnerClocks {
  private readonly readings = new BoundedMap<string, Reading[]>(
    MAX_INCARNATIONS,
  );

  /** Notes the clock that a heartbeat carried. */
  note(incarnation: string, sentAt: Millis, heardAt: Millis): void {
    const known = this.readings.get(incarnation) ?? [];
    const last = known.at(-1);
    // A reading left out only makes submissions look older than they are.
    if (last !== undefined && heardAt - last.heardAt < SPACING_MS) return;
    if (last !== undefined && sentAt <= last.sentAt) return;
    const kept = known.slice(1 - MAX_READINGS);
    kept.push({heardAt, sentAt});
    this.readings.set(incarnation, kept);
  }

  /**
   * A time that the owner's clock had reached by `arrivedAt`; undefined when
   * it was never heard. The owner's present clock less this is never below
   * the age of what arrived then.
   */
  find(incarnation: string, arrivedAt: Millis): Millis | undefined {
    const known = this.readings.get(incarnation) ?? [];
    let latest: Millis | undefined;
    for (const {heardAt, sentAt} of known) {
      // What was heard later is turned back by all the time since then, of
      // which the owner's clock cannot have gone on by more.
      const bound = sentAt - Math.max(heardAt - arrivedAt, 0);
      if (latest === undefined || bound > latest) latest = bound;
    }
    return latest;
  }

  /** When the clock was last heard; undefined when it never was. */
  lastHeardAt(incarnation: string): Millis | undefined {
    return this.readings.get(incarnation)?.at(-1)?.heardAt;
  }
}
