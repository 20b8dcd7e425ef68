/**
 * The submissions of an owner that have no answer: their jobs may run, also when
 * the callers have left and send them again.
 */
import {ExpiringMap, type Millis} from '@goldcrestpier/runtime';

/** Time after which nothing of a lost submission can run any more, in ms. */
const RETENTION_MS = 10_000;
/** Maximum number of submissions that are kept. */
const MAX_SUBMISSIONS = 10_000;

/** The holder to which each job was submitted last. */
export class UnansweredSubmissions {
  private readonly holders = new ExpiringMap<string, string>(
    RETENTION_MS,
    MAX_SUBMISSIONS,
  );

  /** Records that a job is being submitted; returns the holder before. */
  record(jobId: string, holderId: string, now: Millis): string | undefined {
    const earlier = this.holders.get(jobId, now);
    this.holders.set(jobId, holderId, now);
    return earlier;
  }

  /** Restores the holder before a submission that was not sent. */
  restore(jobId: string, earlier: string | undefined, now: Millis): void {
    if (earlier === undefined) this.holders.delete(jobId);
    else this.holders.set(jobId, earlier, now);
  }

  /** Removes a job that this holder has answered. */
  settle(jobId: string, holderId: string, now: Millis): void {
    if (this.holders.get(jobId, now) === holderId) this.holders.delete(jobId);
  }

  /** Whether a job was submitted to another holder, which hasn't answered. */
  isElsewhere(
    jobId: string,
    holderId: string | undefined,
    now: Millis,
  ): boolean {
    const known = this.holders.get(jobId, now);
    return known !== undefined && known !== holderId;
  }
}
