/**
 * Limits retries and hedges to a share of first starts. Each first start
 * deposits a fraction of a token; each additional start costs one token. The
 * initial tokens allow services with little traffic to retry.
 */

const INITIAL_TOKENS = 10;
/** Cap that prevents a retry storm after a long period without failures. */
const MAX_TOKENS = 100;

/** A token bucket that is filled by first starts. */
export class RetryBudget {
  private tokens = INITIAL_TOKENS;

  /** Adds `share` of a token for a first start. */
  deposit(share: number): void {
    this.tokens = Math.min(this.tokens + share, MAX_TOKENS);
  }

  /** Removes one token; false if the budget is exhausted. */
  withdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
