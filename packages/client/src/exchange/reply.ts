/** How one request to an entry instance can end, as the client sees it. */
import type {Failure} from '@goldcrestpier/protocol';

/** How a request ended. */
export enum ReplyKind {
  Answer = 'answer',
  Failure = 'failure',
  /** No answer that can be read came back. */
  Lost = 'lost',
  /** The caller's signal aborted it. */
  Aborted = 'aborted',
}

/** How a request ended, with its body when there was one. */
export type Reply<Body> =
  | {readonly kind: ReplyKind.Answer; readonly body: Body}
  | {readonly kind: ReplyKind.Failure; readonly failure: Failure}
  | {
      readonly kind: ReplyKind.Lost;
      /** False only when no byte of the request can have left. */
      readonly sent: boolean;
    }
  | {
      readonly kind: ReplyKind.Aborted;
      /** False only when it was aborted before it was begun. */
      readonly sent: boolean;
    };
