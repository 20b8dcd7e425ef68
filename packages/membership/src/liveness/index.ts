/**
 * Notices that this process itself was stopped (SIGSTOP, a paused host, a
 * long block of its event loop). What it reads afterwards may have waited in
 * its sockets all that time, so its age must be counted from before the stop.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Times of the detection. */
export interface LivenessTiming {
  /** How often the process notes that it runs, in ms. */
  readonly tickMs: Millis;
  /** A gap between two notes that counts as a stop, in ms. */
  readonly gapMs: Millis;
  /**
   * How long after a stop data is still taken to have arrived before it, in
   * ms. Long enough for the event loop to empty every socket.
   */
  readonly quarantineMs: Millis;
}

/** The timing where none is given. */
export const defaultLivenessTiming: LivenessTiming = {
  tickMs: 50,
  gapMs: 400,
  quarantineMs: 1_000,
};

/** One stop of this process. */
interface Stop {
  /** The last note before it. */
  readonly startedAt: Millis;
  readonly noticedAt: Millis;
}

/**
 * Keeps note that this process runs.
 *
 * After SIGCONT, `epoll_wait` returns with EINTR and the event loop runs its
 * overdue timers before it polls its sockets again, so the tick as a rule
 * notices a stop before anything is read. A process that was stopped between
 * two callbacks of one poll reads sockets first; so every question notices a
 * stop as well, by the same rule, and none depends on the order.
 */
export class Liveness {
  private notedAt: Millis;
  /** The note before the last. */
  private previousAt: Millis;
  private stop: Stop | undefined;

  constructor(
    now: Millis,
    private readonly timing: LivenessTiming = defaultLivenessTiming,
  ) {
    this.notedAt = now;
    this.previousAt = now;
  }

  /** Notes that the process runs. Called by the tick's loop. */
  tick(now: Millis): void {
    this.notice(now);
    this.previousAt = this.notedAt;
    this.notedAt = now;
  }

  /**
   * The latest time of which it is sure that data read at `now` had not been
   * in this process's hands before. After a stop that is before the stop.
   */
  arrivalTime(now: Millis): Millis {
    this.notice(now);
    if (this.stop === undefined) return Math.min(this.previousAt, now);
    return this.stop.startedAt;
  }

  /** When the last stop was noticed; undefined when there was none lately. */
  resumedAt(now: Millis): Millis | undefined {
    this.notice(now);
    return this.stop?.noticedAt;
  }

  private notice(now: Millis): void {
    if (now - this.notedAt > this.timing.gapMs) {
      // A second stop in the quarantine of the first leaves data from before
      // the first unread.
      const startedAt = this.stop?.startedAt ?? this.previousAt;
      this.stop = {startedAt, noticedAt: now};
      this.previousAt = startedAt;
      this.notedAt = now;
      return;
    }
    const {quarantineMs} = this.timing;
    if (this.stop && now - this.stop.noticedAt > quarantineMs) {
      this.stop = undefined;
    }
  }
}
