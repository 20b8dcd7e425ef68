/** What an owner asks of the holder. */
import type {Job} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';
import type {
  JobAnswer,
  JobCancellation,
  JobSubmission,
  ZoneCallFailure,
} from '../protocol/index.js';

/** One request of a caller for a job. */
export interface OwnRequest {
  readonly job: Job;
  /** Rises with each request of this owner. */
  readonly number: number;
}

/** Cancels the requests of one owner for a job, up to and including one. */
export type OwnCancellation = Required<Omit<JobCancellation, 'ownerId'>>;

/** A client of the holder, which is local or a peer. */
export interface HolderClient {
  readonly id: string;
  submit(
    message: JobSubmission,
    timeoutMs: Millis,
  ): Promise<Result<JobAnswer, ZoneCallFailure>>;
  /** Cancels requests for a job; true if the holder has accepted that. */
  cancel(cancellation: OwnCancellation): Promise<boolean>;
}
