/** Rate limiting of repeated log lines. */
import type {LogFields, Logger, Millis} from '@goldcrestpier/runtime';

/** Default minimum interval between two equal log lines, in ms. */
const DEFAULT_INTERVAL_MS = 10_000;
/** Maximum number of tracked lines, which bounds the memory used. */
const MAX_ENTRIES = 1_000;

interface Entry {
  writtenAt: Millis;
  suppressedCount: number;
}

/**
 * Writes a line at most once per interval for each message and subject. The
 * next line that is written reports how many were suppressed.
 */
export class RateLimitedLogger {
  private readonly entries = new Map<string, Entry>();

  constructor(
    private readonly logger: Logger,
    private readonly minIntervalMs: Millis = DEFAULT_INTERVAL_MS,
  ) {}

  /** Logs a warning about `subject`, unless it repeats within the interval. */
  warn(message: string, subject: string, fields: LogFields, now: Millis): void {
    const extra = this.admit(`${message} ${subject}`, now);
    if (extra !== undefined) this.logger.warn(message, {...fields, ...extra});
  }

  /** Logs an info line about `subject`, unless it repeats in the interval. */
  info(message: string, subject: string, fields: LogFields, now: Millis): void {
    const extra = this.admit(`${message} ${subject}`, now);
    if (extra !== undefined) this.logger.info(message, {...fields, ...extra});
  }

  /** Returns fields to add to the line, or undefined to suppress the line. */
  private admit(key: string, now: Millis): LogFields | undefined {
    const entry = this.entries.get(key);
    if (entry !== undefined && now - entry.writtenAt < this.minIntervalMs) {
      entry.suppressedCount += 1;
      return undefined;
    }
    if (this.entries.size >= MAX_ENTRIES) this.entries.clear();
    this.entries.set(key, {writtenAt: now, suppressedCount: 0});
    return {repeated: entry?.suppressedCount};
  }
}
