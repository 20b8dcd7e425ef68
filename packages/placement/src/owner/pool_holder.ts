/** An owner's view of one holder of a pool: open requests and prospects. */
import type {Prospect} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';

/** Round trip to another zone, added to estimates for holders there. */
const ZONE_ROUND_TRIP_MS = 5;
/** Time after which a holder that has not answered a demand may be frozen. */
const ANSWER_TIMEOUT_MS = 100;
/** Longest time without news from a holder with requests outstanding. */
const MAX_SILENCE_MS = 2_000;
/** Age after which the wait in a prospect is ignored. */
const STALE_PROSPECT_MS = 3_000;
/** Assumed time between free slots until the first prospect arrives. */
const DEFAULT_SLOT_INTERVAL_MS = 10;
/** Delay before a holder that did not answer is asked again. */
const UNRESPONSIVE_BACKOFF_MS = 500;

/** One holder of servers of a pool. */
export class PoolHolder {
  /** Number of waiting tasks assigned to this holder. */
  assigned = 0;
  /** Number of slots requested from it and not yet granted. */
  requested = 0;
  /** Number of needs sent to it and not yet granted. */
  requestedNeeds = 0;
  /** Number of grants received from it. */
  received = 0;
  /** When the demand now in flight was sent, if any. */
  requestSentAt: Millis | undefined;
  /** Number of demands since the last grant or withdrawal. */
  unfulfilledDemands = 0;
  private waitMs: Millis = 0;
  /** Time between two slots that become free at this holder. */
  private everyMs: Millis = DEFAULT_SLOT_INTERVAL_MS;
  private speed = 1;
  private prospectAt: Millis = -Infinity;
  private requestedAt: Millis = -Infinity;
  private unresponsiveUntil: Millis = 0;

  constructor(
    readonly incarnation: string,
    readonly isSameZone: boolean,
  ) {}

  /** Stores what one more task can expect at this holder. */
  updateProspect({waitMs, everyMs, speed}: Prospect, now: Millis): void {
    this.prospectAt = now;
    this.waitMs = waitMs;
    this.everyMs = everyMs;
    this.speed = speed;
  }

  /** Estimates the time until one more task with this run time would end. */
  finishMs(runMs: Millis, now: Millis): Millis {
    const roundTripMs = this.isSameZone ? 0 : ZONE_ROUND_TRIP_MS;
    // A stale long wait would keep this holder from ever being asked again. Its
    // assigned tasks still count; otherwise a whole burst would go to the
    // nearest holder.
    const isStale = now - this.prospectAt > STALE_PROSPECT_MS;
    const waitMs = isStale ? this.assigned * this.everyMs : this.waitMs;
    return waitMs + runMs / this.speed + roundTripMs;
  }

  /** Assigns one more task to this holder. */
  assign(): void {
    this.assigned += 1;
    // Until the next prospect, each assigned task adds to the estimated wait.
    this.waitMs += this.everyMs;
  }

  /** Records a grant from this holder. */
  recordGrant(): void {
    this.received += 1;
    this.assigned = Math.max(this.assigned - 1, 0);
    this.requested = Math.max(this.requested - 1, 0);
    this.requestedNeeds = Math.max(this.requestedNeeds - 1, 0);
    this.unfulfilledDemands = 0;
  }

  /** Whether a demand to it is in flight. */
  get isRequestPending(): boolean {
    return this.requestSentAt !== undefined;
  }

  /** Records that slots for all assigned tasks were requested. */
  markRequested(now: Millis): void {
    this.requested = this.assigned;
    this.requestedAt = now;
  }

  /** Whether an answer, or any news on outstanding requests, is overdue. */
  isUnresponsive(now: Millis): boolean {
    if (now < this.unresponsiveUntil) return true;
    if (this.requestSentAt !== undefined)
      return now - this.requestSentAt > ANSWER_TIMEOUT_MS;
    if (this.requested === 0) return false;
    return now - Math.max(this.prospectAt, this.requestedAt) > MAX_SILENCE_MS;
  }

  /** Unassigns all tasks after a failed request and pauses new requests. */
  recordFailure(now: Millis): void {
    this.assigned = 0;
    this.requested = 0;
    this.unresponsiveUntil = now + UNRESPONSIVE_BACKOFF_MS;
  }
}
