/**
 * Readings of other instances' clocks. An instance that relays a submission to
 * its owner adds what the owner's clock showed when the request arrived, so
 * that the owner can bound the submission's age without synchronized clocks.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {BoundedMap} from '../view/index.js';

/** Maximum number of incarnations whose clock readings are kept. */
const MAX_INCARNATIONS = 5_000;
/** Maximum number of readings per clock, and their minimum spacing in ms. */
const MAX_READINGS = 16;
const MIN_READING_SPACING_MS = 100;

interface Reading {
  readonly receivedAt: Millis;
  readonly sentAt: Millis;
}

/** Keeps the latest readings of each instance's clock. */
export class RemoteClocks {
  private readonly readings = new BoundedMap<string, Reading[]>(
    MAX_INCARNATIONS,
  );

  /** Records the sender's clock (`sentAt`) from a received heartbeat. */
  recordReading(incarnation: string, sentAt: Millis, receivedAt: Millis): void {
    const known = this.readings.get(incarnation) ?? [];
    const last = known.at(-1);
    // Skipping a reading only makes submissions look older than they are.
    if (
      last !== undefined &&
      receivedAt - last.receivedAt < MIN_READING_SPACING_MS
    )
      return;
    if (last !== undefined && sentAt <= last.sentAt) return;
    const recentReadings = known.slice(1 - MAX_READINGS);
    recentReadings.push({receivedAt, sentAt});
    this.readings.set(incarnation, recentReadings);
  }

  /**
   * A time that the owner's clock had already reached at `arrivedAt`, or
   * undefined without a reading. The owner's current clock minus this value is
   * never less than the age of data that arrived at `arrivedAt`.
   */
  findLowerBound(incarnation: string, arrivedAt: Millis): Millis | undefined {
    const known = this.readings.get(incarnation) ?? [];
    let latest: Millis | undefined;
    for (const {receivedAt, sentAt} of known) {
      // A reading received after `arrivedAt` is reduced by the time in between,
      // which is the most that the owner's clock can have advanced since.
      const bound = sentAt - Math.max(receivedAt - arrivedAt, 0);
      if (latest === undefined || bound > latest) latest = bound;
    }
    return latest;
  }

  /** When the last reading was received; undefined without a reading. */
  lastReadingAt(incarnation: string): Millis | undefined {
    return this.readings.get(incarnation)?.at(-1)?.receivedAt;
  }
}
