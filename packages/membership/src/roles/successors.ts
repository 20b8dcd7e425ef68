/**
 * Which instance answers for the sessions of one that left. It is passed on
 * with heartbeats, the recent ones to all and all of them to a newcomer.
 */
import type {Successor} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {BoundedMap} from '../view/index.js';

/** Entries remembered, and for how long, in ms. */
const MAX_SUCCESSORS = 512;
const KEEP_MS = 2 * 60 * 60 * 1000;
/** How long an entry is passed on to all, in ms. */
const SPREAD_MS = 60_000;
/** Entries in one heartbeat. */
const MAX_SENT = 64;
/** A successor may itself have left, and so on. */
const LONGEST_CHAIN = 8;

interface KnownSuccessor {
  readonly successor: string;
  /** When the instance left, by this process's clock. */
  readonly leftAt: Millis;
  /** When this process learned of it. */
  readonly learnedAt: Millis;
}

/** The successors of instances that left. */
export class Successors {
  private readonly known = new BoundedMap<string, KnownSuccessor>(
    MAX_SUCCESSORS,
  );

  /** Takes what a peer says, or what this instance decided for itself. */
  note(entries: readonly Successor[], now: Millis): void {
    for (const {incarnation, successor, ageMs = 0} of entries) {
      if (incarnation === successor || ageMs > KEEP_MS) continue;
      // The first word stands: an instance names its successor once.
      if (this.known.has(incarnation)) continue;
      this.known.set(incarnation, {
        successor,
        leftAt: now - ageMs,
        learnedAt: now,
      });
    }
  }

  /** Who answers for the sessions of `incarnation` now. */
  find(incarnation: string, now: Millis): string | undefined {
    let successor = this.findOne(incarnation, now);
    for (
      let steps = 1;
      successor !== undefined && steps < LONGEST_CHAIN;
      steps++
    ) {
      const next = this.findOne(successor, now);
      if (next === undefined) return successor;
      successor = next;
    }
    return successor;
  }

  /** The entries of one heartbeat, the newest first. */
  list(isForNewcomer: boolean, now: Millis): Successor[] {
    this.forget(now);
    return [...this.known]
      .filter(
        ([, {learnedAt}]) => isForNewcomer || now - learnedAt <= SPREAD_MS,
      )
      .slice(-MAX_SENT)
      .reverse()
      .map(([incarnation, {successor, leftAt}]) => ({
        incarnation,
        successor,
        ageMs: Math.max(Math.round(now - leftAt), 0),
      }));
  }

  private findOne(incarnation: string, now: Millis): string | undefined {
    const entry = this.known.get(incarnation);
    if (entry === undefined || now - entry.leftAt > KEEP_MS) return undefined;
    return entry.successor;
  }

  private forget(now: Millis): void {
    for (const [incarnation, {leftAt}] of this.known) {
      if (now - leftAt > KEEP_MS) this.known.delete(incarnation);
    }
  }
}
