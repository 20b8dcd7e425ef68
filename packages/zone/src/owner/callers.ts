/** Tracks the callers that wait at one instance for their jobs. */

/** Keeps the callers of each job; a job may be sent again while it runs. */
export class Callers {
  private readonly byJob = new Map<string, Set<AbortController>>();

  /** Whether no caller waits. */
  get isEmpty(): boolean {
    return this.byJob.size === 0;
  }

  /** Whether any caller waits for the job. */
  has(jobId: string): boolean {
    return this.byJob.has(jobId);
  }

  /** Adds a caller; aborting its controller cancels its wait. */
  register(jobId: string, caller: AbortController): void {
    const callers = this.byJob.get(jobId) ?? new Set();
    callers.add(caller);
    this.byJob.set(jobId, callers);
  }

  /** Removes a caller; true if it was the last one of the job. */
  unregister(jobId: string, caller: AbortController): boolean {
    const callers = this.byJob.get(jobId);
    if (callers?.delete(caller) !== true || callers.size > 0) return false;
    this.byJob.delete(jobId);
    return true;
  }

  /** Aborts all callers of a job; false if there are none. */
  abort(jobId: string): boolean {
    const callers = this.byJob.get(jobId);
    if (callers === undefined) return false;
    for (const caller of [...callers]) caller.abort();
    return true;
  }
}
