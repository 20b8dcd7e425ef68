/**
 * Limits how often each message is logged, so that a message about each of a
 * thousand tasks neither costs the process its time nor crowds out the others.
 */
import type {Millis} from '../clock/index.js';

/** Maximum number of lines with the same message in one second. */
const MAX_LINES_PER_MESSAGE = 200;
const SECOND_MS = 1_000;

/** A message of which lines were left out. */
export interface OmittedLines {
  readonly message: string;
  readonly count: number;
}

/** Counts the lines of each message in the current second. */
export class MessageQuota {
  private readonly counts = new Map<string, number>();
  private secondSince: Millis = -Infinity;

  /** Whether another line with this message may be written. */
  take(message: string): boolean {
    const count = (this.counts.get(message) ?? 0) + 1;
    this.counts.set(message, count);
    return count <= MAX_LINES_PER_MESSAGE;
  }

  /** Begins a new second if it is time; returns what the last one left out. */
  refill(now: Millis): readonly OmittedLines[] {
    if (now - this.secondSince < SECOND_MS) return [];
    const omitted: OmittedLines[] = [];
    for (const [message, lines] of this.counts) {
      const count = lines - MAX_LINES_PER_MESSAGE;
      if (count > 0) omitted.push({message, count});
    }
    this.counts.clear();
    this.secondSince = now;
    return omitted;
  }
}
