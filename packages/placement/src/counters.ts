/** What placement counts; the entry instance turns it into metrics. */
import type {FailureCode} from '@goldcrestpier/protocol';

/** Why a task is started again, or for the first time after a refusal. */
export enum RetryReason {
  /** Not run before: the server had no room. */
  Busy = 'busy',
  /** Not run before: the server is leaving. */
  Leaving = 'leaving',
  /** Not run before: nothing reached the server. */
  Refused = 'refused',
  /** A repeatable task whose answer was lost. */
  Unknown = 'unknown',
  /** A repeatable task whose lease lapsed. */
  LeaseLost = 'lease-lost',
  /** A repeatable task that failed. */
  Failed = 'failed',
  /** A repeatable task that runs past the percentile. */
  Hedge = 'hedge',
}

/** Why a server is kept from new work. */
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

/** Messages that contributed to no answer. */
export enum WasteKind {
  /** A start that a server turned down as busy. */
  BusyStart = 'busy-start',
  /** A start that a server turned down as leaving. */
  LeavingStart = 'leaving-start',
  /** A start that reached no server. */
  RefusedStart = 'refused-start',
  /** A demand that was answered without a grant and later withdrawn. */
  VainDemand = 'vain-demand',
  /** A message that only withdraws a demand. */
  Withdrawal = 'withdrawal',
  /** A grant that came when nothing waited any more, and its return. */
  ReturnedGrant = 'returned-grant',
  /** A grant that was neither used nor returned in its time. */
  ExpiredGrant = 'expired-grant',
  /** A message to a peer that did not answer. */
  LostMessage = 'lost-message',
}

/** Receives the counts. */
export interface PlacementCounters {
  /** Tasks that were refused. */
  refused(code: FailureCode, pool: string, tasks: number): void;
  retried(reason: RetryReason, pool: string): void;
  ejected(reason: EjectionReason, pool: string): void;
  sent(kind: MessageKind, messages: number): void;
  wasted(kind: WasteKind, messages: number): void;
}

/** Counts nothing. */
export const silentCounters: PlacementCounters = {
  refused: () => undefined,
  retried: () => undefined,
  ejected: () => undefined,
  sent: () => undefined,
  wasted: () => undefined,
};
