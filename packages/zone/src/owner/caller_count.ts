/** How many callers wait at one instance for each job. */

/** Counts callers, so that only the last one to leave takes its job back. */
export class CallerCount {
  private readonly counts = new Map<string, number>();

  /** Notes a caller that waits for a job. */
  enter(jobId: string): void {
    this.counts.set(jobId, (this.counts.get(jobId) ?? 0) + 1);
  }

  /** Whether a caller waits for the job. */
  has(jobId: string): boolean {
    return this.counts.has(jobId);
  }

  /** Notes that a caller waits no more; true when none is left. */
  leave(jobId: string): boolean {
    const left = (this.counts.get(jobId) ?? 0) - 1;
    if (left > 0) this.counts.set(jobId, left);
    else this.counts.delete(jobId);
    return left <= 0;
  }
}
