/** What is counted of the limits of clients. */
import type {CloseReason} from './close_reason.js';

/** Counts limits that take effect. */
export interface ClientCounters {
  /** A connection was closed by a limit. */
  readonly countClosed: (reason: CloseReason) => void;
  /** Reading from a connection stopped until its requests end. */
  readonly countPaused: () => void;
}
