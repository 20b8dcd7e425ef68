/**
 * The share of a pool's runs that fail. When most runs fail on all servers, the
 * tasks are the cause, and ejecting servers would not help.
 */
/** Number of recent runs that determine the share. */
const WINDOW = 200;
/** Share of failed runs above which failures count as pool-wide. */
const POOL_WIDE_SHARE = 0.5;
/** Minimum number of runs for a reliable share. */
const MIN_RUNS = 20;

/** Tracks the failed runs of one pool. */
export class FailureShare {
  private runs = 0;
  private failed = 0;

  /** Counts one run. */
  record(failed: boolean): void {
    const decay = 1 - 1 / WINDOW;
    this.runs = this.runs * decay + 1;
    this.failed = this.failed * decay + (failed ? 1 : 0);
  }

  /** Whether most runs fail across the whole pool. */
  get isPoolWide(): boolean {
    return this.runs >= MIN_RUNS && this.failed > this.runs * POOL_WIDE_SHARE;
  }
}
