/**
 * Measures the event loop delay of this process. A long delay also delays its
 * heartbeats, so that peers may consider it failed.
 */
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';

const MILLIS_PER_SECOND = 1_000;
const MICROS_PER_MILLI = 1_000;
/** A step that is this late is logged, in ms. */
const LATE_STEP_MS = 150;
/** Minimum interval between two log lines, in ms. */
const LOG_INTERVAL_MS = 1_000;

/** Reads the processor time that this process has used, in microseconds. */
export type ReadProcessorMicros = () => number;

/** Reads the processor time of this process from the operating system. */
export function readProcessorMicros(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/** Measures and logs how late steps run. */
export class LoopDelay {
  private loggedAt: Millis = 0;
  private loggedMicros = 0;
  private maxLateMs: Millis = 0;

  constructor(
    private readonly logger: Logger,
    private readonly metrics: ZoneMetrics,
    private readonly readMicros: ReadProcessorMicros = readProcessorMicros,
  ) {}

  /** Records a step that was due at `dueAt`; to be called at each one. */
  record(now: Millis, dueAt: Millis): void {
    const lateMs = Math.max(0, now - dueAt);
    this.metrics.loopDelaySeconds.observe(lateMs / MILLIS_PER_SECOND);
    this.maxLateMs = Math.max(this.maxLateMs, lateMs);
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    if (this.maxLateMs >= LATE_STEP_MS) this.logDelay(now);
    this.loggedAt = now;
    this.loggedMicros = this.readMicros();
    this.maxLateMs = 0;
  }

  private logDelay(now: Millis): void {
    const usedMs = (this.readMicros() - this.loggedMicros) / MICROS_PER_MILLI;
    this.logger.warn('event loop delayed', {
      lateMs: Math.round(this.maxLateMs),
      usedMs: Math.round(usedMs),
      duringMs: Math.round(now - this.loggedAt),
    });
  }
}
