/**
 * Until when this holder is the only one of its zone. A successor that it does
 * not know of may adopt runs and extend their leases, so that the leases which
 * this holder granted no longer show that a run is over.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {computeLeaseExpiry} from './options.js';

/** What a holder knows of instances that may have claimed its zone. */
export class SoleHolder {
  /** Whether runs on a silent worker wait for a proof that there is no other. */
  isProofNeeded = false;
  private isLeaving = false;
  private provenUntil: Millis = Infinity;

  constructor(private readonly leaseMs: Millis) {}

  /** Marks that this instance stops, so that another one may claim any time. */
  markLeaving(): void {
    this.isLeaving = true;
  }

  /** Records that no other instance can be the holder before `until`. */
  proveUntil(until: Millis): void {
    this.provenUntil = until;
  }

  /**
   * Whether a successor may have extended the lease of a run of a job with this
   * deadline. It extends none beyond the deadline.
   */
  mayBeExtended(deadlineAt: Millis, now: Millis): boolean {
    if (this.isLeaving) return true;
    if (now < this.provenUntil) return false;
    return now < computeLeaseExpiry(deadlineAt, this.leaseMs);
  }
}
