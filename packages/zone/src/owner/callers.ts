/** Tracks the callers that wait at one instance for their jobs. */
import type {OwnerAnswer} from './attempt.js';

/** The callers of one job that wait. */
interface JobCallers {
  readonly waiting: Set<AbortController>;
  /** Whether the request of one that left may still be at the holder. */
  hasUncancelled: boolean;
}

/** Keeps the callers of each job; a job may be sent again while it runs. */
export class Callers {
  private readonly byJob = new Map<string, JobCallers>();

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
    const callers = this.byJob.get(jobId);
    if (callers !== undefined) callers.waiting.add(caller);
    else {
      const waiting = new Set([caller]);
      this.byJob.set(jobId, {waiting, hasUncancelled: false});
    }
  }

  /** Removes a caller that left; true if the job has to be cancelled. */
  leave(jobId: string, caller: AbortController): boolean {
    if (this.remove(jobId, caller) === undefined) return false;
    return !this.deferCancellation(jobId);
  }

  /**
   * Puts off the cancellation of requests whose callers left until the others
   * have their answers; false if none waits.
   */
  deferCancellation(jobId: string): boolean {
    const callers = this.byJob.get(jobId);
    if (callers === undefined) return false;
    callers.hasUncancelled = true;
    return true;
  }

  /**
   * Removes a caller with its answer; true if requests whose callers left before
   * have to be cancelled, as the job may go on.
   */
  end(jobId: string, caller: AbortController, {kind}: OwnerAnswer): boolean {
    const callers = this.remove(jobId, caller);
    if (callers === undefined || this.has(jobId)) return false;
    const hasEnded = kind === 'completed' || kind === 'failed';
    return callers.hasUncancelled && !hasEnded;
  }

  /** Aborts all callers of a job; false if there are none. */
  abort(jobId: string): boolean {
    const callers = this.byJob.get(jobId);
    if (callers === undefined) return false;
    for (const caller of [...callers.waiting]) caller.abort();
    return true;
  }

  /** Removes a caller; undefined if it is gone already. */
  private remove(
    jobId: string,
    caller: AbortController,
  ): JobCallers | undefined {
    const callers = this.byJob.get(jobId);
    if (callers?.waiting.delete(caller) !== true) return undefined;
    if (callers.waiting.size === 0) this.byJob.delete(jobId);
    return callers;
  }
}
