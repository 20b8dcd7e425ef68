/** Types of a request to a backend server and of its outcome. */
import type {Millis} from '@goldcrestpier/runtime';

/** One request to a backend server. */
export interface BackendRequest {
  /** `host:port` of the server. */
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON; no body is sent when undefined. */
  readonly body?: unknown;
  /** Time from the call to the end of the response. */
  readonly timeoutMs: Millis;
  readonly signal?: AbortSignal;
}

/** Ways in which an exchange can end. */
export enum ExchangeKind {
  /** A complete response arrived. */
  Completed = 'answered',
  /** Nothing was written, which proves that the server did not act on it. */
  NotSent = 'not-sent',
  /** Writing had begun, but no complete response arrived. */
  Lost = 'lost',
  /** The caller aborted the exchange. */
  Aborted = 'aborted',
}

/** Outcome of one exchange. */
export type Exchange =
  | {
      readonly kind: ExchangeKind.Completed;
      readonly status: number;
      /** Parsed JSON; undefined when the body is not JSON. */
      readonly body: unknown;
      /** Time from the first byte written to the last byte read. */
      readonly elapsedMs: Millis;
    }
  | {readonly kind: ExchangeKind.NotSent; readonly reason: string}
  | {readonly kind: ExchangeKind.Lost; readonly reason: string}
  | {readonly kind: ExchangeKind.Aborted; readonly sent: boolean};
