/**
 * Budgets for starts beyond the first: retries and hedges. Each first start
 * earns a share of one; a small reserve lets a quiet service retry at all.
 */

const RESERVE = 10;
/** Savings are bounded, so that a long calm allows no storm. */
const MAX_SAVED = 100;

/** A token bucket that first starts fill. */
export class StartBudget {
  private saved = RESERVE;

  /** A first start earns `share` of one more start. */
  earn(share: number): void {
    this.saved = Math.min(this.saved + share, MAX_SAVED);
  }

  /** Takes one start out; false when the budget is spent. */
  spend(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
