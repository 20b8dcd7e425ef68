/** Keeps repeated log lines from flooding the log. */
import type {LogFields, Logger, Millis} from '@goldcrestpier/runtime';

/** How often a line is written at most, in ms. */
const LINE_EVERY_MS = 10_000;
/** Lines remembered, so that no number of subjects fills the memory. */
const MAX_SUBJECTS = 1_000;

interface Line {
  writtenAt: Millis;
  left: number;
}

/** Writes each kind of line at most once in a while, with what it left out. */
export class SparseLog {
  private readonly lines = new Map<string, Line>();

  constructor(
    private readonly logger: Logger,
    private readonly everyMs: Millis = LINE_EVERY_MS,
  ) {}

  /** Warns about `subject`; repetitions are counted and left out. */
  warn(message: string, subject: string, fields: LogFields, now: Millis): void {
    const line = this.admit(`${message} ${subject}`, now);
    if (line !== undefined) this.logger.warn(message, {...fields, ...line});
  }

  /** Informs about `subject`; repetitions are counted and left out. */
  info(message: string, subject: string, fields: LogFields, now: Millis): void {
    const line = this.admit(`${message} ${subject}`, now);
    if (line !== undefined) this.logger.info(message, {...fields, ...line});
  }

  /** What to add to the line; undefined when it is to be left out. */
  private admit(key: string, now: Millis): LogFields | undefined {
    const line = this.lines.get(key);
    if (line !== undefined && now - line.writtenAt < this.everyMs) {
      line.left += 1;
      return undefined;
    }
    if (this.lines.size >= MAX_SUBJECTS) this.lines.clear();
    this.lines.set(key, {writtenAt: now, left: 0});
    return {repeated: line?.left};
  }
}
