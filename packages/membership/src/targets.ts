/** The addresses worth a link: from settings, the list and other instances. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  BoundedMap,
  InstanceState,
  type ListedInstance,
  type View,
} from './view/index.js';

/** Addresses that are remembered from heartbeats of unknown instances. */
const MAX_CLAIMS = 256;
/** How long one of them is tried, in ms. */
const CLAIM_MS = 30_000;

/** Collects addresses. */
export class Targets {
  private listed: readonly string[] = [];
  private readonly claims = new BoundedMap<string, Millis>(MAX_CLAIMS);
  private readonly own: Set<string>;

  constructor(
    ownAddress: string,
    private readonly seeds: readonly string[],
  ) {
    this.own = new Set([ownAddress]);
  }

  /** Takes the addresses of the newest answer of the list. */
  noteList(entries: readonly ListedInstance[]): void {
    this.listed = entries.map(({peerAddress}) => peerAddress);
  }

  /** Notes an address that an instance gave for itself. */
  noteClaim(address: string, now: Millis): void {
    this.claims.delete(address);
    this.claims.set(address, now);
  }

  /** Notes an address at which this instance itself answers. */
  noteOwn(address: string): void {
    this.own.add(address);
  }

  /** Every address worth a link at `now`. */
  collect(view: View, now: Millis): Set<string> {
    const wanted = new Set([...this.seeds, ...this.listed]);
    for (const {member, state} of view.instances()) {
      if (state !== InstanceState.Gone) wanted.add(member.peerAddress);
    }
    for (const [address, claimedAt] of this.claims) {
      if (now - claimedAt <= CLAIM_MS) wanted.add(address);
    }
    for (const address of this.own) wanted.delete(address);
    return wanted;
  }
}
