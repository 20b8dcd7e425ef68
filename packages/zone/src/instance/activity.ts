/** What an instance is at: jobs of its callers, and whether a holder is known. */
import type {Millis} from '@goldcrestpier/runtime';

/** How long an instance may be without a holder and still call itself ready. */
const READY_WITHOUT_HOLDER_MS = 2_000;
/** For so long after its last job an instance counts as having some, in ms. */
const BUSY_MS = 1_000;
/** For so long everyone is asked for the holder once it was not found, in ms. */
const ASK_ALL_MS = 500;
/** So long between two steps, and others may have taken over meanwhile, in ms. */
const LONG_STEP_MS = 600;
/** How often an instance considers its role that holds or may hold, in ms. */
const STEP_MS = 50;
/** The same for one that only follows, and for one without callers' jobs. */
const FOLLOWER_STEP_MS = 75;
const IDLE_STEP_MS = 350;

/** Keeps when each was last so. */
export class Activity {
  private hadHolderAt: Millis = -Infinity;
  private missedHolderAt: Millis = -Infinity;
  private busyAt: Millis = -Infinity;
  private steppedAt: Millis | undefined;

  /** A holder is known. */
  noteHolder(now: Millis): void {
    this.hadHolderAt = now;
  }

  /** The holder can't be asked, or says that it isn't. */
  noteHolderMissed(now: Millis): void {
    this.missedHolderAt = now;
  }

  /** A step begins; after a pause of this process everyone is asked. */
  noteStep(now: Millis): void {
    const before = this.steppedAt ?? now;
    if (now - before >= LONG_STEP_MS) this.noteHolderMissed(now);
    this.steppedAt = now;
  }

  /** Callers wait for jobs. */
  noteJobs(now: Millis): void {
    this.busyAt = now;
  }

  /** Whether a holder is known, or was a moment ago. */
  hasHolder(now: Millis): boolean {
    return now - this.hadHolderAt < READY_WITHOUT_HOLDER_MS;
  }

  /** Whether the holder was looked for in vain a moment ago. */
  hasMissedHolder(now: Millis): boolean {
    return now - this.missedHolderAt < ASK_ALL_MS;
  }

  /** Whether callers wait for jobs, or did a moment ago. */
  isBusy(now: Millis): boolean {
    return now - this.busyAt < BUSY_MS;
  }

  /** How long it may be until the next step; shortest where others rest on it. */
  chooseStep(isShort: boolean, now: Millis): Millis {
    if (isShort) return STEP_MS;
    return this.isBusy(now) ? FOLLOWER_STEP_MS : IDLE_STEP_MS;
  }
}
