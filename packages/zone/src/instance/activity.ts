/** Tracks whether an instance has callers' jobs and knows a holder. */
import type {Millis} from '@goldcrestpier/runtime';

/** How long an instance without a holder still reports ready, in ms. */
const READY_WITHOUT_HOLDER_MS = 2_000;
/** How long after its last job an instance counts as busy, in ms. */
const RECENT_JOB_MS = 1_000;
/** How long all peers are asked once the holder was unavailable, in ms. */
const HOLDER_SEARCH_MS = 500;
/** Pause between two steps after which a peer may have taken over, in ms. */
const LONG_PAUSE_MS = 600;
/** Interval at which the holder and candidates reconsider their role, in ms. */
const STEP_INTERVAL_MS = 50;
/** The same for a follower with callers' jobs, and for one without, in ms. */
const FOLLOWER_STEP_INTERVAL_MS = 75;
const IDLE_STEP_INTERVAL_MS = 350;

/** Keeps the time at which each condition last applied. */
export class Activity {
  private hadHolderAt: Millis = -Infinity;
  private holderUnavailableAt: Millis = -Infinity;
  private busyAt: Millis = -Infinity;
  private steppedAt: Millis | undefined;

  /** Records that a holder is known. */
  recordHolder(now: Millis): void {
    this.hadHolderAt = now;
  }

  /** Records that the holder is unreachable or denies being the holder. */
  recordHolderUnavailable(now: Millis): void {
    this.holderUnavailableAt = now;
  }

  /** Records a step; after a long pause the known holder may be outdated. */
  recordStep(now: Millis): void {
    const before = this.steppedAt ?? now;
    if (now - before >= LONG_PAUSE_MS) this.recordHolderUnavailable(now);
    this.steppedAt = now;
  }

  /** Records that callers wait for jobs. */
  recordJobs(now: Millis): void {
    this.busyAt = now;
  }

  /** Whether a holder is known, or was until recently. */
  hasHolder(now: Millis): boolean {
    return now - this.hadHolderAt < READY_WITHOUT_HOLDER_MS;
  }

  /** Whether the holder was recently found to be unavailable. */
  wasHolderUnavailable(now: Millis): boolean {
    return now - this.holderUnavailableAt < HOLDER_SEARCH_MS;
  }

  /** Whether callers wait for jobs, or did until recently. */
  isBusy(now: Millis): boolean {
    return now - this.busyAt < RECENT_JOB_MS;
  }

  /** Chooses the time until the next step, in ms. */
  chooseInterval(needsShortInterval: boolean, now: Millis): Millis {
    if (needsShortInterval) return STEP_INTERVAL_MS;
    return this.isBusy(now) ? FOLLOWER_STEP_INTERVAL_MS : IDLE_STEP_INTERVAL_MS;
  }
}
