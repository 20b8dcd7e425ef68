/** How often and how long one call goes on, and how long it pauses between. */
import type {RetryBudget} from './budget.js';

const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 2_000;

/** The bounds of one call. */
export class Patience {
  private tries = 0;

  constructor(
    /** Monotonic time at which the call gives up, in milliseconds. */
    readonly endsAt: number,
    private readonly maxTries: number,
    private readonly budget: RetryBudget,
  ) {}

  /** What is left of the call's time at `now`, in milliseconds. */
  remaining(now: number): number {
    return Math.max(0, this.endsAt - now);
  }

  /**
   * Takes one more try. Answers how long to pause before it, in milliseconds,
   * or undefined when the call has to give up. `random` is in [0, 1).
   */
  takeTry(
    now: number,
    retryAfterMs: number | undefined,
    random: number,
  ): number | undefined {
    this.tries += 1;
    if (this.tries >= this.maxTries) return undefined;
    const pauseMs = Math.max(
      retryAfterMs ?? this.backOff(random),
      this.budget.take(now),
    );
    if (now + pauseMs < this.endsAt) return pauseMs;
    this.budget.giveBack();
    return undefined;
  }

  private backOff(random: number): number {
    const ceiling = FIRST_PAUSE_MS * 2 ** (this.tries - 1);
    return Math.min(LONGEST_PAUSE_MS, ceiling) * (0.5 + random / 2);
  }
}
