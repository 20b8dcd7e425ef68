/** Bounds what a whole client resends, so that retries cannot feed a fault. */

const EARNED_PER_SUBMISSION = 0.2;
const EARNED_PER_MS = 1 / 1_000;

/** A reserve of resubmissions that fills up again with time and with use. */
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

  /** Takes one resubmission; false when the budget is spent. */
  spend(now: number): boolean {
    this.add((now - this.filledAt) * EARNED_PER_MS);
    this.filledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private add(amount: number): void {
    this.tokens = Math.min(this.reserve, this.tokens + amount);
  }
}
