/**
 * Spreads the returns of refused callers over the time in which capacity
 * becomes free. Each refusal takes its work out of a virtual schedule, so that
 * the next caller is told a later time; what is told drains as time passes.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {chooseRetryAfter, estimateWait, type Work} from './estimate.js';

/**
 * Share of the capacity that returning callers are promised; new jobs get the
 * rest.
 */
const RETURN_SHARE = 0.15;
/** Longest retry delay, in ms: what is freed later can't be foreseen. */
const MAX_RETRY_MS = 20_000;
/** Number of services whose schedule is kept; the oldest is removed. */
const MAX_SERVICES = 256;

/** What the return of a refused caller depends on. */
export interface ReturnDemand {
  readonly service: string;
  /** Work of the refused job. */
  readonly work: Work;
  /** Time until the work ahead has drained, in ms. */
  readonly waitMs: Millis;
  /** Processors of the service, in thousandths. */
  readonly capacity: number;
}

/** The promised returns of one holder, by service. */
export class ReturnSchedule {
  /** Until when the capacity for returns is promised, by service. */
  private readonly promisedUntil = new Map<string, Millis>();

  /** Promises a return; returns the retry delay, in ms. */
  promise(
    {service, work, waitMs, capacity}: ReturnDemand,
    now: Millis,
  ): Millis {
    const earliestAt = now + chooseRetryAfter(waitMs);
    const promisedUntil = this.promisedUntil.get(service) ?? -Infinity;
    const returnAt = Math.max(earliestAt, promisedUntil);
    const takesMs = estimateWait(work, capacity * RETURN_SHARE);
    const latestAt = now + MAX_RETRY_MS;
    if (Number.isFinite(takesMs))
      this.setPromised(service, Math.min(returnAt + takesMs, latestAt));
    return Math.min(returnAt, latestAt) - now;
  }

  private setPromised(service: string, until: Millis): void {
    const [oldest] = this.promisedUntil.keys();
    const isNew = !this.promisedUntil.has(service);
    if (
      isNew &&
      this.promisedUntil.size >= MAX_SERVICES &&
      oldest !== undefined
    )
      this.promisedUntil.delete(oldest);
    this.promisedUntil.set(service, until);
  }
}
