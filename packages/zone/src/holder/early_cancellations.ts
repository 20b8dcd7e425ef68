/** Cancellations of requests that may arrive after them. */
import {AbandonReason} from '@goldcrestpier/dispatch';
import {ExpiringMap, type Millis} from '@goldcrestpier/runtime';
import type {JobSubmission} from '../protocol/index.js';
import type {OwnerRequests} from './pending_answers.js';

/**
 * Time in which a submission may arrive after its cancellation, in ms; shorter
 * than that after which a caller sends its job again.
 */
const RETENTION_MS = 1_000;
/** Time in which a copy of a job that was cancelled may arrive, in ms. */
const JOB_RETENTION_MS = 10_000;
/** Maximum number of such cancellations that are kept. */
const MAX_CANCELLATIONS = 10_000;
/** The request of an owner of an older version, which doesn't number them. */
export const UNNUMBERED_REQUEST = 0;

/** Requests of one owner for one job, up to and including one. */
export interface CancelledRequests extends OwnerRequests {
  readonly jobId: string;
  readonly reason: AbandonReason;
}

/** Keeps cancellations for a time in which their requests may arrive. */
export class EarlyCancellations {
  /** By owner and job. */
  private readonly requests = new ExpiringMap<string, CancelledRequests>(
    RETENTION_MS,
    MAX_CANCELLATIONS,
  );
  /** Jobs that were cancelled for all owners, also for later requests. */
  private readonly jobs = new ExpiringMap<string, true>(
    JOB_RETENTION_MS,
    MAX_CANCELLATIONS,
  );
  /** The same of jobs that no owner had submitted yet. */
  private readonly unknownJobs = new ExpiringMap<string, true>(
    RETENTION_MS,
    MAX_CANCELLATIONS,
  );

  /** Adds a cancellation of one owner's requests; it may be late. */
  add(cancelled: CancelledRequests, now: Millis): void {
    const key = formatKey(cancelled.ownerId, cancelled.jobId);
    const known = this.requests.get(key, now);
    const isKnownLater =
      known !== undefined && known.lastRequest > cancelled.lastRequest;
    this.requests.set(key, isKnownLater ? known : cancelled, now);
  }

  /** Adds a cancellation of a job for all its owners. */
  addForAllOwners(jobId: string, isKnown: boolean, now: Millis): void {
    const jobs = isKnown ? this.jobs : this.unknownJobs;
    jobs.set(jobId, true, now);
  }

  /** Finds why a request was cancelled; undefined if it wasn't. */
  find(
    {ownerId, id, request = UNNUMBERED_REQUEST}: JobSubmission,
    now: Millis,
  ): AbandonReason | undefined {
    const cancelled = this.requests.get(formatKey(ownerId, id), now);
    if (cancelled !== undefined && request <= cancelled.lastRequest)
      return cancelled.reason;
    const isJobCancelled =
      this.jobs.get(id, now) ?? this.unknownJobs.get(id, now) ?? false;
    return isJobCancelled ? AbandonReason.Cancelled : undefined;
  }
}

function formatKey(ownerId: string, jobId: string): string {
  return `${ownerId} ${jobId}`;
}
