/**
 * Since when a zone may have runs that no job has claimed, counted over changes
 * of holder. Each holder keeps such runs for a limited time; one that follows a
 * short-lived holder goes on with the time of that one.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Claim} from '../protocol/index.js';

/** Keeps the times of the highest claim that an instance knows. */
export class HolderSuccession {
  private token = 0;
  private claimedAt: Millis = -Infinity;
  private since: Millis = -Infinity;

  /**
   * `settleMs`: time after a claim after which the leases of all runs that no
   * job has claimed from its holder are over.
   */
  constructor(private readonly settleMs: Millis) {}

  /** Since when runs are kept at the present holder that no job has claimed. */
  get unclaimedSince(): Millis {
    return this.since;
  }

  /** Records a claim that was made or received at `now`. */
  record({token, unsettledMs}: Claim, now: Millis): void {
    if (token < this.token) return;
    const reportedSince = now - (unsettledMs ?? 0);
    if (token === this.token) {
      this.since = Math.min(this.since, reportedSince);
      return;
    }
    const isSettled = now - this.claimedAt >= this.settleMs;
    // The first claim that an instance hears of may be an old one.
    const isOld = this.token === 0 && unsettledMs === undefined;
    this.since = Math.min(isSettled ? now : this.since, reportedSince);
    this.claimedAt = isOld ? -Infinity : now;
    this.token = token;
  }

  /**
   * Time since such runs are kept, in ms; undefined when none of them can hold
   * a lease any more that an earlier holder granted.
   */
  findUnsettledMs(now: Millis): Millis | undefined {
    if (now - this.claimedAt >= this.settleMs) return undefined;
    return Math.max(0, now - this.since);
  }
}
