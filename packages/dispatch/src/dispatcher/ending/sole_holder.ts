/**
 * Until when this holder is the only one of its zone. A successor that it does
 * not know of may adopt runs and extend their leases, so that the leases which
 * this holder granted no longer show that a run is over.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {FORMER_HOLDER_STOP_MS, computeLeaseExpiry} from '../options.js';

/**
 * Time from the end of a pause of the process until it has read what arrived
 * meanwhile, and has chosen its role again, in ms.
 */
const RESUMPTION_MS = 100;

/** What a holder knows of instances that may have claimed its zone. */
export class SoleHolder {
  /** Whether runs on a silent worker wait for a proof that there is no other. */
  isProofNeeded = false;
  private isLeaving = false;
  private provenUntil: Millis = Infinity;
  private activeAt: Millis | undefined;
  private resumedAt: Millis = -Infinity;

  constructor(private readonly leaseMs: Millis) {}

  /** Marks that this instance stops, so that another one may claim any time. */
  markLeaving(): void {
    this.isLeaving = true;
  }

  /** Records that no other instance can be the holder before `until`. */
  proveUntil(until: Millis): void {
    this.provenUntil = until;
  }

  /** Records that the process runs. */
  recordActivity(now: Millis): void {
    if (this.wasPaused(now)) this.resumedAt = now;
    this.activeAt = now;
  }

  /**
   * Whether the process has just gone on after a pause in which another holder
   * may have claimed the zone and started its tasks.
   */
  isResuming(now: Millis): boolean {
    return this.wasPaused(now) || now - this.resumedAt < RESUMPTION_MS;
  }

  /**
   * Whether a successor may have extended the lease of a run of a job with this
   * deadline. It extends none beyond the deadline.
   */
  mayBeExtended(deadlineAt: Millis, now: Millis): boolean {
    if (!this.isLeaving && now < this.provenUntil) return false;
    return now < computeLeaseExpiry(deadlineAt, this.leaseMs);
  }

  /** Whether it has not run for so long until now. */
  private wasPaused(now: Millis): boolean {
    return now - (this.activeAt ?? now) >= FORMER_HOLDER_STOP_MS;
  }
}
