/**
 * The highest fencing tokens of the zones' holders. An instance keeps them
 * beyond the end of its own zone's holder and exchanges them with its peers, so
 * that a later holder rejects what a replaced holder of another zone delegates.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {ZoneToken} from '../protocol/index.js';

/**
 * Time for which a token is told to peers, in ms. What is older stands in the
 * platform's list of instances.
 */
const GOSSIP_MS = 10_000;

interface KnownToken {
  readonly token: number;
  readonly learnedAt: Millis;
}

/** The highest token that is known of each zone. */
export class ZoneTokens {
  private readonly tokens = new Map<string, KnownToken>();
  private revisionNumber = 0;

  /** Changes when a higher token of any zone becomes known. */
  get revision(): number {
    return this.revisionNumber;
  }

  /** Records a token; false if a higher one of the zone is known. */
  record(zone: string, token: number, now: Millis): boolean {
    const highest = this.tokens.get(zone)?.token ?? 0;
    if (token > highest) {
      this.tokens.set(zone, {token, learnedAt: now});
      this.revisionNumber += 1;
    }
    return token >= highest;
  }

  /** Reports those that have become known recently; undefined if none. */
  reportRecent(now: Millis): readonly ZoneToken[] | undefined {
    const reports: ZoneToken[] = [];
    for (const [zone, {token, learnedAt}] of this.tokens) {
      if (now - learnedAt < GOSSIP_MS) reports.push({zone, token});
    }
    return reports.length === 0 ? undefined : reports;
  }
}
