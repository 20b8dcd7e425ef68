/**
 * The share of a pool's runs that fail. When most fail everywhere, it is the
 * tasks and not a server, and ejecting servers would help nobody.
 */
const WINDOW = 200;
const COMMON_SHARE = 0.5;
/** Fewer runs than this say too little. */
const LEAST_RUNS = 20;

/** Follows the failed runs of one pool. */
export class FailureShare {
  private runs = 0;
  private failed = 0;

  /** Counts one run. */
  record(failed: boolean): void {
    const kept = 1 - 1 / WINDOW;
    this.runs = this.runs * kept + 1;
    this.failed = this.failed * kept + (failed ? 1 : 0);
  }

  /** Whether failing is common in the whole pool. */
  get isCommon(): boolean {
    return this.runs >= LEAST_RUNS && this.failed > this.runs * COMMON_SHARE;
  }
}
