/**
 * Notices when this process can't keep its own times: then its heartbeats are
 * late too, and others may take it for gone.
 */
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';

const MILLIS_PER_SECOND = 1_000;
const MICROS_PER_MILLI = 1_000;
/** A step that is later than this is worth a line, in ms. */
const LATE_MS = 150;
/** Shortest time between two lines, in ms. */
const LINE_PAUSE_MS = 1_000;

/** Reads the processor time that this process has used, in microseconds. */
export type ReadProcessorMicros = () => number;

/** Processor time of this process, by the system's account. */
export function readProcessorMicros(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/** Measures how late steps come. */
export class LoopDelay {
  private lineAt: Millis = 0;
  private lineMicros = 0;
  private latestMs: Millis = 0;

  constructor(
    private readonly logger: Logger,
    private readonly metrics: ZoneMetrics,
    private readonly readMicros: ReadProcessorMicros = readProcessorMicros,
  ) {}

  /** To be called at each step that was due at `dueAt`. */
  note(now: Millis, dueAt: Millis): void {
    const lateMs = Math.max(0, now - dueAt);
    this.metrics.loopDelaySeconds.observe(lateMs / MILLIS_PER_SECOND);
    this.latestMs = Math.max(this.latestMs, lateMs);
    if (now - this.lineAt < LINE_PAUSE_MS) return;
    if (this.latestMs >= LATE_MS) this.write(now);
    this.lineAt = now;
    this.lineMicros = this.readMicros();
    this.latestMs = 0;
  }

  private write(now: Millis): void {
    const usedMs = (this.readMicros() - this.lineMicros) / MICROS_PER_MILLI;
    this.logger.warn('event loop was late', {
      lateMs: Math.round(this.latestMs),
      usedMs: Math.round(usedMs),
      duringMs: Math.round(now - this.lineAt),
    });
  }
}
