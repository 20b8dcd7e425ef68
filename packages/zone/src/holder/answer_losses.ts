/**
 * Notices that answers of workers get lost. One worker that is silent may be
 * gone; when several lose single answers at the same time, orders are worth a
 * second try, and a look that is late has probably been lost.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** How long a lost answer counts, in ms. */
const MEMORY_MS = 1_000;
/**
 * Workers that must have lost an answer for it to count as more than their own
 * faults: so many, and this share of those that are held.
 */
const LEAST_WORKERS = 2;
const LEAST_SHARE = 0.04;

/** Keeps which workers lost an answer a moment ago. */
export class AnswerLosses {
  private readonly lostAt = new Map<string, Millis>();

  /** Notes that an order to a worker that answered before got no answer. */
  note(workerId: string, now: Millis): void {
    this.lostAt.set(workerId, now);
  }

  /** Whether answers of several of the workers that are held are being lost. */
  areMany(now: Millis, workers: number): boolean {
    for (const [workerId, at] of this.lostAt) {
      if (now - at >= MEMORY_MS) this.lostAt.delete(workerId);
    }
    const least = Math.max(LEAST_WORKERS, workers * LEAST_SHARE);
    return this.lostAt.size >= least;
  }
}
