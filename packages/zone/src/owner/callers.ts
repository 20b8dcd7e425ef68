/** The callers that wait at one instance for the ends of their jobs. */

/** Finds all callers of one job; a job may be sent again while it runs. */
export class Callers {
  private readonly byJob = new Map<string, Set<AbortController>>();

  /** Whether nobody waits. */
  get isEmpty(): boolean {
    return this.byJob.size === 0;
  }

  /** Whether any caller waits for the job. */
  has(jobId: string): boolean {
    return this.byJob.has(jobId);
  }

  /** Adds a caller, who is given up by aborting. */
  enter(jobId: string, caller: AbortController): void {
    const callers = this.byJob.get(jobId) ?? new Set();
    callers.add(caller);
    this.byJob.set(jobId, callers);
  }

  /** Removes a caller who waits no more; true when it was the last one. */
  leave(jobId: string, caller: AbortController): boolean {
    const callers = this.byJob.get(jobId);
    if (callers?.delete(caller) !== true || callers.size > 0) return false;
    this.byJob.delete(jobId);
    return true;
  }

  /** Gives up all callers of a job; false when there are none. */
  abort(jobId: string): boolean {
    const callers = this.byJob.get(jobId);
    if (callers === undefined) return false;
    for (const caller of [...callers]) caller.abort();
    return true;
  }
}
