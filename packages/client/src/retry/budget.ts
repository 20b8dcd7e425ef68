/** Bounds what a whole client resends, so that retries cannot feed a fault. */

const EARNED_PER_SUBMISSION = 0.2;
const EARNED_PER_MS = 10 / 1_000;

/**
 * A reserve of resubmissions that fills up again with time and with use. When
 * it is spent, resubmissions wait their turn: giving up would leave a caller
 * without the answer of a job that may be running.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly reserve: number,
    private filledAt: number,
  ) {
    this.tokens = reserve;
  }

  /** Counts a first submission. */
  earn(): void {
    this.add(EARNED_PER_SUBMISSION);
  }

  /** Takes one resubmission and answers how long it has to wait, in ms. */
  take(now: number): number {
    this.add((now - this.filledAt) * EARNED_PER_MS);
    this.filledAt = now;
    this.tokens -= 1;
    return this.tokens >= 0 ? 0 : -this.tokens / EARNED_PER_MS;
  }

  /** Gives back a resubmission that was taken and will not be sent. */
  giveBack(): void {
    this.add(1);
  }

  private add(amount: number): void {
    this.tokens = Math.min(this.reserve, this.tokens + amount);
  }
}
