/** How one request to an entry instance can end. */
import type {Failure} from '@goldcrestpier/protocol';

/** The kinds of outcome of a request. */
export enum OutcomeKind {
  Answer = 'answer',
  Failure = 'failure',
  /** No response arrived, or one that cannot be parsed. */
  NoResponse = 'lost',
  /** The caller's signal aborted it. */
  Aborted = 'aborted',
}

/** The outcome of a request, with the body of a valid response. */
export type RequestOutcome<Body> =
  | {readonly kind: OutcomeKind.Answer; readonly body: Body}
  | {readonly kind: OutcomeKind.Failure; readonly failure: Failure}
  | {
      readonly kind: OutcomeKind.NoResponse;
      /** False only if no byte of the request can have been sent. */
      readonly isSent: boolean;
    }
  | {
      readonly kind: OutcomeKind.Aborted;
      /** False only if it was aborted before it started. */
      readonly isSent: boolean;
    };
