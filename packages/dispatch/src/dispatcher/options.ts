/** Options of a dispatcher, and the time bounds derived from them. */
import type {Millis} from '@goldcrestpier/runtime';

/** Time bounds of the deployment, in ms, and what a holder follows. */
export interface DispatcherOptions {
  /** Longest lease of a run on a worker. */
  readonly leaseMs: Millis;
  /** Longest time that a worker takes to stop a run. */
  readonly stopMs: Millis;
  /**
   * Since when runs are kept that no job has claimed, which is before this
   * holder's time if it follows a short-lived one; else left out.
   */
  readonly unclaimedSince?: Millis | undefined;
  /**
   * Factor on the run time of a task outside the rack that has its data;
   * `DEFAULT_REMOTE_FACTOR` if left out.
   */
  readonly remoteFactor?: number | undefined;
}

/** Time in which a stopped run is expected to end when a move is planned, in ms. */
export const EXPECTED_STOP_MS = 60;

/** Time after which a task of a lost delegate has certainly ended, in ms. */
export const DELEGATED_RUN_MAX_MS = 2_000;

/**
 * Time after which a former holder that is still alive has stopped starting
 * tasks, in ms: it has learned of the new holder, a worker has rejected its
 * fencing token, or it has abandoned the jobs of owners that it can't reach.
 */
export const FORMER_HOLDER_STOP_MS = 600;

/**
 * Longest time after which a worker may execute a command that it has not
 * answered, in ms.
 */
export const MAX_COMMAND_DELAY_MS = 12_000;

/** Share by which a worker's clock may be slower than this one. */
const MAX_CLOCK_DRIFT = 0.02;
/** Added to the end of a lease or a stop for the round trip, in ms. */
const ROUND_TRIP_MARGIN_MS = 30;

/**
 * When a lease that was granted by a command sent at `sentAt` has certainly
 * expired. The command names a time on the worker's clock, which was read
 * `clockAgeMs` earlier and may have fallen behind since.
 */
export function computeLeaseExpiry(
  sentAt: Millis,
  leaseMs: Millis,
  clockAgeMs: Millis = 0,
): Millis {
  const maxLeaseMs = leaseMs + MAX_CLOCK_DRIFT * clockAgeMs;
  return sentAt + maxLeaseMs / (1 - MAX_CLOCK_DRIFT) + ROUND_TRIP_MARGIN_MS;
}

/**
 * When a run has certainly ended whose start command was sent for the last time
 * before `now` and may be executed late, by any incarnation of the worker.
 */
export function computeLateRunEnd(now: Millis, leaseMs: Millis): Millis {
  return computeLeaseExpiry(now + MAX_COMMAND_DELAY_MS, leaseMs);
}

/** When a stop that was confirmed at `confirmedAt` has certainly completed. */
export function computeStopCompletion(
  confirmedAt: Millis,
  stopMs: Millis,
): Millis {
  return confirmedAt + stopMs + ROUND_TRIP_MARGIN_MS;
}
