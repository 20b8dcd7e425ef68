/** Limits the tries and the duration of one call, and delays its retries. */
import type {RetryBudget} from './budget.js';

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

/** The limits of one call, which may send several requests. */
export class RetryLimits {
  private tries = 0;

  constructor(
    /** Monotonic time at which the call gives up. */
    readonly endsAt: number,
    private readonly maxTries: number,
    private readonly budget: RetryBudget,
  ) {}

  /** Returns the remaining time of the call at `now`. */
  getRemainingMs(now: number): number {
    return Math.max(0, this.endsAt - now);
  }

  /**
   * Takes one more try from the limits. Returns the delay before it, or
   * undefined if the call has to give up. `random` is in [0, 1).
   */
  takeRetryDelayMs(
    now: number,
    retryAfterMs: number | undefined,
    random: number,
  ): number | undefined {
    this.tries += 1;
    if (this.tries >= this.maxTries) return undefined;
    const delayMs = Math.max(
      retryAfterMs ?? this.computeBackoffMs(random),
      this.budget.take(now),
    );
    if (now + delayMs < this.endsAt) return delayMs;
    this.budget.refund();
    return undefined;
  }

  private computeBackoffMs(random: number): number {
    const maxMs = INITIAL_BACKOFF_MS * 2 ** (this.tries - 1);
    return Math.min(MAX_BACKOFF_MS, maxMs) * (0.5 + random / 2);
  }
}
