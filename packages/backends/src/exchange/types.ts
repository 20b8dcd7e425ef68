/** One request to a backend server and what is known of it afterwards. */
import type {Millis} from '@goldcrestpier/runtime';

/** One request to a backend server. */
export interface BackendRequest {
  /** `host:port` of the server. */
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON when it is there. */
  readonly body?: unknown;
  /** Time from now to the end of the answer. */
  readonly timeoutMs: Millis;
  readonly signal?: AbortSignal;
}

/** How an exchange can end. */
export enum ExchangeKind {
  /** A whole answer arrived. */
  Answered = 'answered',
  /** Nothing was written to the server: proof that it did not act. */
  NotSent = 'not-sent',
  /** Writing had begun and no whole answer arrived. */
  Lost = 'lost',
  /** The caller gave it up. */
  Aborted = 'aborted',
}

/** How one exchange ended. */
export type Exchange =
  | {
      readonly kind: ExchangeKind.Answered;
      readonly status: number;
      /** Parsed JSON; undefined when the body is not JSON. */
      readonly body: unknown;
      /** From the first byte written to the last one read. */
      readonly elapsedMs: Millis;
    }
  | {readonly kind: ExchangeKind.NotSent; readonly reason: string}
  | {readonly kind: ExchangeKind.Lost; readonly reason: string}
  | {readonly kind: ExchangeKind.Aborted; readonly sent: boolean};
