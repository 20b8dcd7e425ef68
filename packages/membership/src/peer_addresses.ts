/** Peer addresses from the settings, the instance list and other instances. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  BoundedMap,
  InstanceState,
  type ListedInstance,
  type View,
} from './view/index.js';

/** Maximum number of candidate addresses learned from heartbeats. */
const MAX_CANDIDATES = 256;
/** How long a candidate address is tried, in ms. */
const CANDIDATE_TTL_MS = 30_000;

/** Collects the addresses to which links should be open. */
export class PeerAddresses {
  private listed: readonly string[] = [];
  private readonly candidates = new BoundedMap<string, Millis>(MAX_CANDIDATES);
  private readonly ownAddresses: Set<string>;

  constructor(
    ownAddress: string,
    private readonly seeds: readonly string[],
  ) {
    this.ownAddresses = new Set([ownAddress]);
  }

  /** Replaces the addresses that come from the instance list. */
  setListed(entries: readonly ListedInstance[]): void {
    this.listed = entries.map(({peerAddress}) => peerAddress);
  }

  /** Adds an address that was reported in a heartbeat, or renews it. */
  addCandidate(address: string, now: Millis): void {
    this.candidates.delete(address);
    this.candidates.set(address, now);
  }

  /** Adds an address at which this instance itself listens. */
  addOwnAddress(address: string): void {
    this.ownAddresses.add(address);
  }

  /** All addresses to which links should be open at `now`. */
  collect(view: View, now: Millis): Set<string> {
    const wanted = new Set([...this.seeds, ...this.listed]);
    for (const {member, state} of view.instances()) {
      if (state !== InstanceState.Gone) wanted.add(member.peerAddress);
    }
    for (const [address, notedAt] of this.candidates) {
      if (now - notedAt <= CANDIDATE_TTL_MS) wanted.add(address);
    }
    for (const address of this.ownAddresses) wanted.delete(address);
    return wanted;
  }
}
