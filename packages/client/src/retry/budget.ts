/** Limits the retries of a whole client, so that they cannot amplify faults. */

const TOKENS_PER_SUBMISSION = 0.2;
const TOKENS_PER_MS = 10 / 1_000;

/**
 * A token bucket of resubmissions that refills over time and with each
 * submission. When it is empty, resubmissions wait for a token: giving up
 * would leave a caller without the answer of a job that may be running.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly maxTokens: number,
    private refilledAt: number,
  ) {
    this.tokens = maxTokens;
  }

  /** Counts a first submission. */
  countSubmission(): void {
    this.addTokens(TOKENS_PER_SUBMISSION);
  }

  /** Takes a token for one resubmission; returns how long to wait, in ms. */
  take(now: number): number {
    this.addTokens((now - this.refilledAt) * TOKENS_PER_MS);
    this.refilledAt = now;
    this.tokens -= 1;
    return this.tokens >= 0 ? 0 : -this.tokens / TOKENS_PER_MS;
  }

  /** Returns the token of a resubmission that will not be sent. */
  refund(): void {
    this.addTokens(1);
  }

  private addTokens(amount: number): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + amount);
  }
}
