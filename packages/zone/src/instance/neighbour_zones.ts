/** The holders of other zones, as registered and as heard. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Registration} from '../ports/index.js';
import type {ZoneHeartbeat} from '../protocol/index.js';

/** Silence after which a zone's tasks are no longer worked on, in ms. */
const ZONE_SILENCE_MS = 1_000;

/** How long a new holder has to ask for tasks that were lent before it, in ms. */
const JOIN_MS = 1_000;

interface ForeignHolder {
  readonly address: string;
  readonly token: number;
  /** When it was first known under this token. */
  readonly since: Millis;
  heardAt: Millis;
}

/** Keeps the newest holder of each other zone. */
export class NeighbourZones {
  private readonly holders = new Map<string, ForeignHolder>();
  /** The highest token that each zone's holders have shown. */
  private readonly tokens = new Map<string, number>();

  constructor(private readonly zone: string) {}

  /** Addresses to keep links to. */
  get addresses(): readonly string[] {
    return [...this.holders.values()].map(({address}) => address);
  }

  /** Takes the platform's list, which may be old. */
  setRegistrations(list: readonly Registration[], now: Millis): void {
    for (const {zone, address, holderToken} of list) {
      if (zone === this.zone || holderToken === undefined) continue;
      this.note(zone, address, holderToken, now);
    }
  }

  /** Notes a heartbeat from an instance of another zone. */
  hear({id, zone, address, claim}: ZoneHeartbeat, now: Millis): void {
    if (zone === this.zone || claim?.holderId !== id) return;
    this.note(zone, address, claim.token, now);
    const holder = this.holders.get(zone);
    if (holder?.address === address) holder.heardAt = now;
  }

  /** The address of a zone's holder. */
  addressOf(zone: string): string | undefined {
    return this.holders.get(zone)?.address;
  }

  /** Notes the token that a zone's holder shows; true unless it is outdated. */
  noteToken(zone: string, token: number): boolean {
    const highest = this.tokens.get(zone) ?? 0;
    if (token > highest) this.tokens.set(zone, token);
    return token >= highest;
  }

  /** Whether the zone's holder was heard a moment ago. */
  isAlive(zone: string, now: Millis): boolean {
    const holder = this.holders.get(zone);
    return holder !== undefined && now - holder.heardAt < ZONE_SILENCE_MS;
  }

  /** Whether the zone still wants a task that it lent under `token`. */
  wantsLent(zone: string, token: number, now: Millis): boolean {
    const holder = this.holders.get(zone);
    if (holder === undefined || !this.isAlive(zone, now)) return false;
    // A new holder asks for what was lent before it; then that is its own.
    return token >= holder.token || now - holder.since < JOIN_MS;
  }

  private note(
    zone: string,
    address: string,
    token: number,
    now: Millis,
  ): void {
    this.noteToken(zone, token);
    const known = this.holders.get(zone);
    if (known !== undefined && known.token >= token) return;
    const heardAt = known?.heardAt ?? -Infinity;
    this.holders.set(zone, {address, token, since: now, heardAt});
  }
}
