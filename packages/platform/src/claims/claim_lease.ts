import type {Millis} from '@goldcrestpier/runtime';
import {Ok, type Result} from 'ts-results-es';
import type {PlatformFailure} from '../failure.js';
import type {KeyValueClient} from '../key_value/index.js';

const MILLIS_PER_SECOND = 1_000;
/** Claims made within this time share one lease, to keep leases few. */
const SHARING_WINDOW_MS = 300_000;
/** How long after the window a claim may be written and last `retentionMs`. */
const MAX_WRITE_DELAY_MS = 60_000;

interface SharedLease {
  readonly lease: string;
  readonly windowEndsAt: Millis;
}

/**
 * The lease that new claims are attached to. It is never renewed: its time to
 * live covers the sharing window and the retention of a claim made at its end.
 */
export class ClaimLease {
  private current: SharedLease | undefined;

  constructor(
    private readonly client: KeyValueClient,
    private readonly retentionMs: Millis,
  ) {}

  /** Returns the lease for a claim at `now`; grants one if there is none. */
  async obtain(now: Millis): Promise<Result<string, PlatformFailure>> {
    if (this.current !== undefined && now <= this.current.windowEndsAt) {
      return Ok(this.current.lease);
    }
    const lifetimeMs =
      SHARING_WINDOW_MS + this.retentionMs + MAX_WRITE_DELAY_MS;
    const ttlSeconds = Math.ceil(lifetimeMs / MILLIS_PER_SECOND);
    const granted = await this.client.grantLease(ttlSeconds);
    return granted.map(({lease}) => {
      this.current = {lease, windowEndsAt: now + SHARING_WINDOW_MS};
      return lease;
    });
  }

  /** Whether a claim with a response at `now` lasts for `retentionMs`. */
  isWrittenInTime(now: Millis): boolean {
    const {windowEndsAt = -Infinity} = this.current ?? {};
    return now <= windowEndsAt + MAX_WRITE_DELAY_MS;
  }

  /** Discards a lease that no longer exists in the service. */
  forget(): void {
    this.current = undefined;
  }
}
