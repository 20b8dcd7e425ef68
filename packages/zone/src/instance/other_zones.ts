/** Tracks the holders of other zones by registrations and heartbeats. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Registration} from '../ports/index.js';
import type {ZoneHeartbeat, ZoneToken} from '../protocol/index.js';
import {ZoneTokens} from './zone_tokens.js';

/** Silence after which a zone's delegated tasks are cancelled, in ms. */
const ZONE_SILENCE_MS = 1_000;

/** Silence after which a zone may have lost its holder, in ms. */
const ZONE_SUSPICION_MS = 500;

/**
 * Time in which the holders that follow one reattach to its tasks here, in ms;
 * it doesn't begin anew with each of them.
 */
const REATTACH_WINDOW_MS = 1_000;

interface KnownToken {
  readonly token: number;
  readonly since: Millis;
}

interface OtherZoneHolder {
  readonly address: string;
  readonly token: number;
  /** When the tokens of the zone's recent holders became known, in order. */
  readonly succession: readonly KnownToken[];
  heardAt: Millis;
}

/** Keeps the holder with the highest token for each other zone. */
export class OtherZones {
  private readonly holders = new Map<string, OtherZoneHolder>();
  private readonly tokens = new ZoneTokens();

  constructor(private readonly zone: string) {}

  /** Addresses to keep links to. */
  get addresses(): readonly string[] {
    return [...this.holders.values()].map(({address}) => address);
  }

  /** Updates the holders from the platform's list, which may be stale. */
  setRegistrations(list: readonly Registration[], now: Millis): void {
    for (const {zone, address, holderToken} of list) {
      if (zone === this.zone || holderToken === undefined) continue;
      this.recordHolder(zone, address, holderToken, now);
    }
  }

  /** Records a heartbeat; true if it is from the holder of another zone. */
  recordHeartbeat(
    {id, zone, address, claim}: ZoneHeartbeat,
    now: Millis,
  ): boolean {
    if (zone === this.zone || claim?.holderId !== id) return false;
    this.recordHolder(zone, address, claim.token, now);
    const holder = this.holders.get(zone);
    if (holder?.address !== address) return false;
    holder.heardAt = now;
    return true;
  }

  /** Finds the address of a zone's holder. */
  findAddress(zone: string): string | undefined {
    return this.holders.get(zone)?.address;
  }

  /** Records the token of a zone's holder; false if a higher one is known. */
  recordToken(zone: string, token: number, now: Millis): boolean {
    return this.tokens.record(zone, token, now);
  }

  /** Changes when peers have to be told of a token. */
  get tokensRevision(): number {
    return this.tokens.revision;
  }

  /** Reports the tokens that have become known recently. */
  reportTokens(now: Millis): readonly ZoneToken[] | undefined {
    return this.tokens.reportRecent(now);
  }

  /** Adds the tokens that a peer reported. */
  mergeTokens(reports: readonly ZoneToken[], now: Millis): void {
    for (const {zone, token} of reports) this.tokens.record(zone, token, now);
  }

  /** Whether the zone's holder was heard within `ZONE_SILENCE_MS`. */
  isAlive(zone: string, now: Millis): boolean {
    const holder = this.holders.get(zone);
    return holder !== undefined && now - holder.heardAt < ZONE_SILENCE_MS;
  }

  /** Whether the zone still wants a task that it delegated under `token`. */
  isTaskWanted(zone: string, token: number, now: Millis): boolean {
    const holder = this.holders.get(zone);
    if (holder === undefined || !this.isAlive(zone, now)) return false;
    // A new holder reattaches to earlier tasks, which then carry its token.
    if (token >= holder.token) return true;
    const follower = holder.succession.find(known => known.token > token);
    return now - (follower?.since ?? now) < REATTACH_WINDOW_MS;
  }

  /** Whether the zone's current holder is known to wait for such a task. */
  isTaskConfirmed(zone: string, token: number, now: Millis): boolean {
    const holder = this.holders.get(zone);
    if (holder === undefined || token < holder.token) return false;
    return now - holder.heardAt < ZONE_SUSPICION_MS;
  }

  private recordHolder(
    zone: string,
    address: string,
    token: number,
    now: Millis,
  ): void {
    this.recordToken(zone, token, now);
    const known = this.holders.get(zone);
    if (known !== undefined && known.token >= token) return;
    const heardAt = known?.heardAt ?? -Infinity;
    const succession = [
      ...dropOutdated(known?.succession ?? [], now),
      {token, since: now},
    ];
    this.holders.set(zone, {address, token, succession, heardAt});
  }
}

/** Drops the tokens that are not needed to tell which tasks are unwanted. */
function dropOutdated(
  succession: readonly KnownToken[],
  now: Millis,
): readonly KnownToken[] {
  const lastOutdated = succession.findLastIndex(
    ({since}) => now - since >= REATTACH_WINDOW_MS,
  );
  return succession.slice(Math.max(lastOutdated, 0));
}
