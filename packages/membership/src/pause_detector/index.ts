/**
 * Detects that this process itself was paused (SIGSTOP, a paused host, a long
 * block of its event loop). Data read afterwards may have waited in its sockets
 * during the pause, so its age must be counted from before the pause.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Timing of the pause detection. */
export interface PauseDetectorTiming {
  /** Interval between ticks, in ms. */
  readonly tickMs: Millis;
  /** A longer time than this between two ticks counts as a pause, in ms. */
  readonly pauseThresholdMs: Millis;
  /**
   * How long after a pause data is still assumed to have arrived before it, in
   * ms. It must be long enough for the event loop to empty every socket.
   */
  readonly staleReadMs: Millis;
}

/** The default timing of the pause detection. */
export const defaultPauseDetectorTiming: PauseDetectorTiming = {
  tickMs: 50,
  pauseThresholdMs: 400,
  staleReadMs: 1_000,
};

/** A pause of this process. */
interface Pause {
  /** A tick before the pause; everything unread arrived after it. */
  readonly startedAt: Millis;
  readonly detectedAt: Millis;
}

/**
 * Detects pauses of this process from gaps between its ticks.
 *
 * After SIGCONT, `epoll_wait` returns with EINTR and the event loop runs its
 * overdue timers before it polls its sockets again, so a tick usually detects
 * the pause before anything is read. A process that was paused between two
 * callbacks of one poll reads sockets first. Every query therefore checks for a
 * pause by the same rule, and no result depends on the order.
 */
export class PauseDetector {
  private lastTickAt: Millis;
  /** The tick before the last one. */
  private previousTickAt: Millis;
  private pause: Pause | undefined;

  constructor(
    now: Millis,
    private readonly timing: PauseDetectorTiming = defaultPauseDetectorTiming,
  ) {
    this.lastTickAt = now;
    this.previousTickAt = now;
  }

  /** Records that the process is running. Must be called every `tickMs`. */
  tick(now: Millis): void {
    this.detectPause(now);
    this.previousTickAt = this.lastTickAt;
    this.lastTickAt = now;
  }

  /**
   * A lower bound for the arrival time of data that is read at `now`. For
   * `staleReadMs` after a pause it lies before the pause.
   */
  arrivalTime(now: Millis): Millis {
    this.detectPause(now);
    if (this.pause === undefined) return Math.min(this.previousTickAt, now);
    return this.pause.startedAt;
  }

  /** When the last pause was detected; undefined after `staleReadMs`. */
  resumedAt(now: Millis): Millis | undefined {
    this.detectPause(now);
    return this.pause?.detectedAt;
  }

  private detectPause(now: Millis): void {
    if (now - this.lastTickAt > this.timing.pauseThresholdMs) {
      // Within `staleReadMs` of an earlier pause, data from before that pause
      // may still be unread.
      const startedAt = this.pause?.startedAt ?? this.previousTickAt;
      this.pause = {startedAt, detectedAt: now};
      this.previousTickAt = startedAt;
      this.lastTickAt = now;
      return;
    }
    const {staleReadMs} = this.timing;
    if (this.pause && now - this.pause.detectedAt > staleReadMs) {
      this.pause = undefined;
    }
  }
}
