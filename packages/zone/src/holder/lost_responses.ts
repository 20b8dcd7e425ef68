/**
 * Detects that responses of workers get lost in the network. A single worker
 * without responses may have failed. If several workers lose single responses at
 * the same time, requests should be retried, and the response of a late poll has
 * probably been lost.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** How long a lost response counts, in ms. */
const LOSS_WINDOW_MS = 1_000;
/**
 * Responses count as being lost, rather than single workers as failing, if at
 * least this many workers, and this share of all workers, lost one.
 */
const MIN_WORKERS = 2;
const MIN_WORKER_SHARE = 0.04;

/** Tracks the workers that had a lost response recently. */
export class LostResponses {
  private readonly lostAt = new Map<string, Millis>();

  /** Records an unanswered request to a worker that answered before. */
  recordLoss(workerId: string, now: Millis): void {
    this.lostAt.set(workerId, now);
  }

  /** Whether responses of several of `workers` workers are being lost. */
  isWidespread(now: Millis, workers: number): boolean {
    for (const [workerId, at] of this.lostAt) {
      if (now - at >= LOSS_WINDOW_MS) this.lostAt.delete(workerId);
    }
    const threshold = Math.max(MIN_WORKERS, workers * MIN_WORKER_SHARE);
    return this.lostAt.size >= threshold;
  }
}
