import type {Millis} from '@goldcrestpier/runtime';
import {Ok, type Result} from 'ts-results-es';
import type {PlatformFailure} from '../failure.js';
import type {KeyValueClient} from '../key_value/index.js';

const MILLIS_PER_SECOND = 1_000;
/** Claims made within this time share one lease, so that few are made. */
const WINDOW_MS = 300_000;
/** How late a claim may be written and still last as long as promised. */
const SLACK_MS = 60_000;

interface SharedLease {
  readonly lease: string;
  readonly usableUntil: Millis;
}

/**
 * The lease under which claims are written at present. It is never renewed:
 * it outlasts its window by the time for which a claim has to last.
 */
export class ClaimLease {
  private present: SharedLease | undefined;

  constructor(
    private readonly client: KeyValueClient,
    private readonly keptMs: Millis,
  ) {}

  /** The lease for a claim at `now`; made when there is none. */
  async obtain(now: Millis): Promise<Result<string, PlatformFailure>> {
    if (this.present !== undefined && now <= this.present.usableUntil) {
      return Ok(this.present.lease);
    }
    const lifeMs = WINDOW_MS + this.keptMs + SLACK_MS;
    const seconds = Math.ceil(lifeMs / MILLIS_PER_SECOND);
    const granted = await this.client.grantLease(seconds);
    return granted.map(({lease}) => {
      this.present = {lease, usableUntil: now + WINDOW_MS};
      return lease;
    });
  }

  /** Whether a claim whose answer came at `now` lasts long enough. */
  isInTime(now: Millis): boolean {
    const {usableUntil = -Infinity} = this.present ?? {};
    return now <= usableUntil + SLACK_MS;
  }

  /** Forgets a lease that the service does not know any more. */
  forget(): void {
    this.present = undefined;
  }
}
