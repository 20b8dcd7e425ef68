/**
 * The peers that have to be told all that this instance knows of tasks, as they
 * have just started or were not heard for some time. The other peers were told
 * when it became known.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Silence after which a peer may have missed what was told, in ms. */
const MISSED_AFTER_MS = 2_000;
/** Time in which a peer is told all, as answers may get lost, in ms. */
const TELL_ALL_MS = 600;
/** How long a peer that is not heard is remembered, in ms. */
const RETENTION_MS = 60_000;

interface HeardPeer {
  /** When it was heard again after the silence, or for the first time. */
  readonly since: Millis;
  readonly heardAt: Millis;
}

/** Remembers which peers were heard of late, by instance ID. */
export class Newcomers {
  private readonly peers = new Map<string, HeardPeer>();

  /** Records a heartbeat; whether its sender has to be told all. */
  recordHeartbeat(id: string, now: Millis): boolean {
    const known = this.peers.get(id);
    const isNew = known === undefined || now - known.heardAt >= MISSED_AFTER_MS;
    const since = isNew ? now : known.since;
    this.peers.delete(id);
    this.peers.set(id, {since, heardAt: now});
    this.removeOldest(now);
    return now - since < TELL_ALL_MS;
  }

  /** Removes a peer that was not heard for long; the oldest come first. */
  private removeOldest(now: Millis): void {
    const [oldest] = this.peers;
    if (oldest === undefined) return;
    const [id, {heardAt}] = oldest;
    if (now - heardAt > RETENTION_MS) this.peers.delete(id);
  }
}
