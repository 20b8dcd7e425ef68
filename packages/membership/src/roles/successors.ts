/**
 * Tracks which instance took over the sessions of an instance that left. The
 * entries spread with heartbeats: recent ones to every peer, and all of them to
 * a new peer.
 */
import type {Successor} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {BoundedMap} from '../view/index.js';

/** Maximum number of entries, and how long they are kept, in ms. */
const MAX_SUCCESSORS = 512;
const RETENTION_MS = 2 * 60 * 60 * 1000;
/** How long an entry is sent to every peer, in ms. */
const GOSSIP_MS = 60_000;
/** Maximum number of entries in one heartbeat. */
const MAX_ENTRIES_PER_HEARTBEAT = 64;
/** Maximum number of lookups when successors have themselves left. */
const MAX_CHAIN_LENGTH = 8;

interface KnownSuccessor {
  readonly successor: string;
  /** When the instance left, on this process's clock. */
  readonly leftAt: Millis;
  /** When this process received the entry. */
  readonly learnedAt: Millis;
}

/** Keeps the successors of instances that left. */
export class Successors {
  private readonly known = new BoundedMap<string, KnownSuccessor>(
    MAX_SUCCESSORS,
  );

  /** Records entries from a peer or from this instance. */
  record(entries: readonly Successor[], now: Millis): void {
    for (const {incarnation, successor, ageMs = 0} of entries) {
      if (incarnation === successor || ageMs > RETENTION_MS) continue;
      // The first entry wins, as an instance names its successor only once.
      if (this.known.has(incarnation)) continue;
      this.known.set(incarnation, {
        successor,
        leftAt: now - ageMs,
        learnedAt: now,
      });
    }
  }

  /** The instance now responsible for the sessions of `incarnation`. */
  find(incarnation: string, now: Millis): string | undefined {
    let successor = this.findDirect(incarnation, now);
    for (
      let steps = 1;
      successor !== undefined && steps < MAX_CHAIN_LENGTH;
      steps++
    ) {
      const next = this.findDirect(successor, now);
      if (next === undefined) return successor;
      successor = next;
    }
    return successor;
  }

  /** The entries to put into one heartbeat, newest first. */
  list(isForNewPeer: boolean, now: Millis): Successor[] {
    this.removeExpired(now);
    return [...this.known]
      .filter(([, {learnedAt}]) => isForNewPeer || now - learnedAt <= GOSSIP_MS)
      .slice(-MAX_ENTRIES_PER_HEARTBEAT)
      .reverse()
      .map(([incarnation, {successor, leftAt}]) => ({
        incarnation,
        successor,
        ageMs: Math.max(Math.round(now - leftAt), 0),
      }));
  }

  private findDirect(incarnation: string, now: Millis): string | undefined {
    const entry = this.known.get(incarnation);
    if (entry === undefined || now - entry.leftAt > RETENTION_MS)
      return undefined;
    return entry.successor;
  }

  private removeExpired(now: Millis): void {
    for (const [incarnation, {leftAt}] of this.known) {
      if (now - leftAt > RETENTION_MS) this.known.delete(incarnation);
    }
  }
}
