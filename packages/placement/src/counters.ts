/** Counters of placement events, which the entry instance exports as metrics. */
import type {FailureCode} from '@goldcrestpier/protocol';

/** Why a task is retried, or started after a server refused it. */
export enum RetryReason {
  /** Did not run: the server had no free slot. */
  Busy = 'busy',
  /** Did not run: the server is shutting down. */
  Leaving = 'leaving',
  /** Did not run: the request never reached the server. */
  Refused = 'refused',
  /** A repeatable task whose answer was lost. */
  Unknown = 'unknown',
  /** A repeatable task whose lease expired. */
  LeaseLost = 'lease-lost',
  /** A repeatable task that failed. */
  Failed = 'failed',
  /** A repeatable task that runs longer than the hedging percentile. */
  Hedge = 'hedge',
}

/** Why a server is ejected from new work. */
export enum EjectionReason {
  Failed = 'failed',
  Unreachable = 'unreachable',
  Unknown = 'unknown',
  Frozen = 'frozen',
}

/** Messages that placement sends to peers and servers. */
export enum MessageKind {
  Demand = 'demand',
  Settlement = 'settlement',
  Offer = 'offer',
  Start = 'start',
}

/** Kinds of messages that contributed to no answer. */
export enum WasteKind {
  /** A start that a server rejected as busy. */
  BusyStart = 'busy-start',
  /** A start that a server rejected because it is shutting down. */
  LeavingStart = 'leaving-start',
  /** A start that reached no server. */
  RefusedStart = 'refused-start',
  /** A demand that was answered without a grant and later withdrawn. */
  UnfulfilledDemand = 'vain-demand',
  /** A message that only withdraws a previous demand. */
  Withdrawal = 'withdrawal',
  /** A grant that arrived when no task waited any more, and its return. */
  ReturnedGrant = 'returned-grant',
  /** A grant that was neither used nor returned before it expired. */
  ExpiredGrant = 'expired-grant',
  /** A message to a peer that did not answer. */
  LostMessage = 'lost-message',
}

/** Receives counts of placement events. */
export interface PlacementCounters {
  /** Counts tasks refused at admission. */
  refused(code: FailureCode, pool: string, tasks: number): void;
  retried(reason: RetryReason, pool: string): void;
  ejected(reason: EjectionReason, pool: string): void;
  sent(kind: MessageKind, messages: number): void;
  wasted(kind: WasteKind, messages: number): void;
}

/** Counters that discard all counts. */
export const silentCounters: PlacementCounters = {
  refused: () => undefined,
  retried: () => undefined,
  ejected: () => undefined,
  sent: () => undefined,
  wasted: () => undefined,
};
