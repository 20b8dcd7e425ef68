/** A holder's state for one backend server: grants in use and free capacity. */
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {ServerHealth} from '../ejection/index.js';
import {fits, type Resources} from '../fit/index.js';
import {ServerSpeed} from '../speeds/index.js';

/** A grant that is in use, or that its owner may still start to use. */
export interface HeldGrant {
  readonly id: string;
  readonly owner: string;
  readonly pool: string;
  readonly team: string;
  /** Resources reserved on a worker; a grant on a runner takes one slot. */
  readonly needs: Resources | undefined;
  readonly grantedAt: Millis;
  /** When an unconfirmed grant is released. */
  readonly expiresAt: Millis;
  /** Whether the owner has reported it as in use. */
  confirmed: boolean;
}

/** How long the first busy answer limits concurrency; doubles each time. */
const INITIAL_BUSY_LIMIT_MS = 100;
const MAX_BUSY_LIMIT_MS = 2_000;
/**
 * How long a server's own "leaving" answer is trusted. By then the instance
 * list has caught up.
 */
const LEAVING_VALIDITY_MS = 30_000;

/** A backend server whose slots this instance grants. */
export class HeldServer {
  readonly health = new ServerHealth();
  readonly speed = new ServerSpeed();
  readonly grants = new Map<string, HeldGrant>();
  /** Peers that have not yet reported which grants they use. */
  readonly unreportedPeers: Set<string>;
  /** Whether it was frozen at the last check. */
  wasFrozen = false;
  private lastEndAt: Millis;
  private leavingUntil: Millis = -Infinity;
  private busyLimit = Infinity;
  private busyLimitUntil: Millis = 0;
  private busyLimitMs: Millis = INITIAL_BUSY_LIMIT_MS;

  constructor(
    public server: Server,
    peers: Iterable<string>,
    now: Millis,
  ) {
    this.unreportedPeers = new Set(peers);
    this.lastEndAt = now;
  }

  /**
   * Whether one more task fits. Until a peer has reported its grants, a
   * proportional share of the server counts as used.
   */
  hasCapacity(
    needs: Resources | undefined,
    instanceCount: number,
    now: Millis,
  ): boolean {
    if (this.grants.size >= this.concurrencyLimit(now)) return false;
    const unknown = this.unreportedPeers.size / Math.max(instanceCount, 1);
    switch (this.server.kind) {
      case BackendKind.Runner: {
        const reservedSlots = Math.ceil(this.server.slots * unknown);
        return this.grants.size < this.server.slots - reservedSlots;
      }
      case BackendKind.Worker:
        return needs !== undefined && fits(needs, this.available(1 - unknown));
    }
  }

  /** Free slots of a runner; free processors of a worker. */
  freeSlots(now: Millis): number {
    const used = this.grants.size;
    const room =
      this.server.kind === BackendKind.Runner
        ? this.server.slots - used
        : this.available(1).processors;
    return Math.max(Math.min(room, this.concurrencyLimit(now) - used), 0);
  }

  /** Free resources of a worker when only `share` of it may be used. */
  available(share: number): Resources {
    let {processors, memoryMb, accelerators} = this.server;
    processors *= share;
    memoryMb *= share;
    accelerators *= share;
    for (const {needs} of this.grants.values()) {
      processors -= needs?.processors ?? 0;
      memoryMb -= needs?.memoryMb ?? 0;
      accelerators -= needs?.accelerators ?? 0;
    }
    return {processors, memoryMb, accelerators};
  }

  /** Counts the grants that one owner has on this server. */
  countGrantsOf(owner: string): number {
    let count = 0;
    for (const grant of this.grants.values()) {
      if (grant.owner === owner) count += 1;
    }
    return count;
  }

  /** Removes a grant whose use ended. */
  endGrant(grant: string, now: Millis): void {
    if (this.grants.delete(grant)) this.lastEndAt = now;
  }

  /** Records a "leaving" answer; the instance list may lag behind. */
  markLeaving(now: Millis): void {
    this.leavingUntil = now + LEAVING_VALIDITY_MS;
  }

  /** Whether it is leaving, by its own answer or by the instance list. */
  isLeaving(now: Millis): boolean {
    const {state} = this.server;
    return state === ServerState.Leaving || now < this.leavingUntil;
  }

  /** Limits concurrency to the grants in use after a "busy" answer. */
  applyBusyLimit(now: Millis): void {
    this.busyLimit = Math.max(this.grants.size, 1);
    this.busyLimitUntil = now + this.busyLimitMs;
    this.busyLimitMs = Math.min(this.busyLimitMs * 2, MAX_BUSY_LIMIT_MS);
  }

  /** Resets the duration of the next busy limit after a completed task. */
  resetBusyBackoff(): void {
    this.busyLimitMs = INITIAL_BUSY_LIMIT_MS;
  }

  /** Whether grants are in use and none has ended for `thresholdMs`. */
  isFrozen(thresholdMs: Millis, now: Millis): boolean {
    if (this.grants.size === 0) return false;
    const [oldest] = this.grants.values();
    const lastProgressAt = Math.max(oldest?.grantedAt ?? now, this.lastEndAt);
    return now - lastProgressAt > thresholdMs;
  }

  private concurrencyLimit(now: Millis): number {
    return now < this.busyLimitUntil ? this.busyLimit : Infinity;
  }
}
