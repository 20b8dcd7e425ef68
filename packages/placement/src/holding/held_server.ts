/** One backend server in the eyes of its holder: what is in use and free. */
import {ServerState, type Server} from '@goldcrestpier/platform';
import {BackendKind} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {ServerHealth} from '../ejection/index.js';
import {fits, type Resources} from '../fit/index.js';
import {ServerSpeed} from '../speeds/index.js';

/** One grant in use, or one that may be. */
export interface HeldGrant {
  readonly id: string;
  readonly owner: string;
  readonly pool: string;
  readonly team: string;
  /** What it takes of a worker; a runner's grant takes one slot. */
  readonly needs: Resources | undefined;
  readonly grantedAt: Millis;
  readonly expiresAt: Millis;
  /** Whether its owner said that it uses it. */
  confirmed: boolean;
}

/** First time for which a busy answer lowers the belief; it doubles. */
const BUSY_MS = 100;
const LONGEST_BUSY_MS = 2_000;
/** A server's own word holds until the list has surely caught up. */
const LEAVING_MS = 30_000;

/** A server that this instance holds. */
export class HeldServer {
  readonly health = new ServerHealth();
  readonly speed = new ServerSpeed();
  readonly grants = new Map<string, HeldGrant>();
  /** Peers whose use of the server is not known yet. */
  readonly unheard: Set<string>;
  /** Whether it was frozen when last looked at. */
  wasFrozen = false;
  private lastEndAt: Millis;
  private leavingUntil: Millis = -Infinity;
  private limit = Infinity;
  private limitUntil: Millis = 0;
  private busyMs: Millis = BUSY_MS;

  constructor(
    public server: Server,
    peers: Iterable<string>,
    now: Millis,
  ) {
    this.unheard = new Set(peers);
    this.lastEndAt = now;
  }

  /** Whether one more task fits. `members` counts the instances seen. */
  hasRoom(needs: Resources | undefined, members: number, now: Millis): boolean {
    if (this.grants.size >= this.limitAt(now)) return false;
    const unknown = this.unheard.size / Math.max(members, 1);
    switch (this.server.kind) {
      case BackendKind.Runner: {
        const doubtful = Math.ceil(this.server.slots * unknown);
        return this.grants.size < this.server.slots - doubtful;
      }
      case BackendKind.Worker:
        return needs !== undefined && fits(needs, this.freeOf(1 - unknown));
    }
  }

  /** Slots that are free, for runners; tasks of one processor, for workers. */
  free(now: Millis): number {
    const used = this.grants.size;
    const room =
      this.server.kind === BackendKind.Runner
        ? this.server.slots - used
        : this.freeOf(1).processors;
    return Math.max(Math.min(room, this.limitAt(now) - used), 0);
  }

  /** Resources of a worker that are free, counting a share of what it has. */
  freeOf(share: number): Resources {
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

  /** Grants that one owner has of it. */
  countOf(owner: string): number {
    let count = 0;
    for (const grant of this.grants.values()) {
      if (grant.owner === owner) count += 1;
    }
    return count;
  }

  /** Takes out a grant that ended in use. */
  end(grant: string, now: Millis): void {
    if (this.grants.delete(grant)) this.lastEndAt = now;
  }

  /** The server said that it is leaving; the instance list may lag behind. */
  noteLeaving(now: Millis): void {
    this.leavingUntil = now + LEAVING_MS;
  }

  /** Whether it is leaving, by its own answer or by the list. */
  isLeaving(now: Millis): boolean {
    const {state} = this.server;
    return state === ServerState.Leaving || now < this.leavingUntil;
  }

  /** The server said busy: it has no more room than is in use now. */
  lowerBelief(now: Millis): void {
    this.limit = Math.max(this.grants.size, 1);
    this.limitUntil = now + this.busyMs;
    this.busyMs = Math.min(this.busyMs * 2, LONGEST_BUSY_MS);
  }

  /** A start ended well, so the belief is right again. */
  raiseBelief(): void {
    this.busyMs = BUSY_MS;
  }

  /** Whether grants are out for longer than `ms` and none came to its end. */
  isFrozen(ms: Millis, now: Millis): boolean {
    if (this.grants.size === 0) return false;
    const [oldest] = this.grants.values();
    const since = Math.max(oldest?.grantedAt ?? now, this.lastEndAt);
    return now - since > ms;
  }

  private limitAt(now: Millis): number {
    return now < this.limitUntil ? this.limit : Infinity;
  }
}
