/** Times that a dispatcher is made with, all in ms. */
import type {Millis} from '@goldcrestpier/runtime';

/** The bounds of the deployment that dispatching depends on. */
export interface DispatcherOptions {
  /** Longest lease that a worker gives. */
  readonly leaseMs: Millis;
  /** Longest time that a stop takes at a worker. */
  readonly stopMs: Millis;
}

/** After this a task that was lent to a lost holder has surely ended, in ms. */
export const LENT_OVER_MS = 2_000;

/** A worker's clock may be slower than ours by this share. */
const CLOCK_DRIFT = 0.02;
/** Added to the end of a lease or a stop for the way there and back, in ms. */
const TRAVEL_MARGIN_MS = 30;

/**
 * When a lease given by an order sent at `sentAt` has surely ended. The order
 * names a time on the worker's clock, which was read `clockAgeMs` before and
 * may have fallen behind since.
 */
export function leaseOverAt(
  sentAt: Millis,
  leaseMs: Millis,
  clockAgeMs: Millis = 0,
): Millis {
  const longestMs = leaseMs + CLOCK_DRIFT * clockAgeMs;
  return sentAt + longestMs / (1 - CLOCK_DRIFT) + TRAVEL_MARGIN_MS;
}

/** When a stop that was taken at `takenAt` has surely ended the run. */
export function stopOverAt(takenAt: Millis, stopMs: Millis): Millis {
  return takenAt + stopMs + TRAVEL_MARGIN_MS;
}
