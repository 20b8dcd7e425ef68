/** Keeps one link to each peer and sends heartbeats to all in one batch. */
import type {CallLink} from '@goldcrestpier/peers';
import type {Lifecycle, Millis} from '@goldcrestpier/runtime';
import {ZoneClient, type ZoneHeartbeat} from '../protocol/index.js';
import {
  HeartbeatRate,
  findHeartbeatInterval,
  PING_INTERVAL_MS,
  type PeerMonitoring,
} from './peer_monitoring.js';
import type {LinkedPeer} from './link_choice.js';

/** Timeout of a heartbeat, in ms. */
const HEARTBEAT_TIMEOUT_MS = 450;
/** Opens a link that reconnects until its life cycle closes. */
export type OpenLink = (address: string, lifecycle: Lifecycle) => CallLink;

/** Dependencies of the links. */
export interface PeerLinksOptions {
  readonly openLink: OpenLink;
  readonly lifecycle: Lifecycle;
  /** Creates the heartbeat to send to peers of this zone or of another one. */
  readonly createHeartbeat: (
    now: Millis,
    isInOtherZone: boolean,
  ) => ZoneHeartbeat;
  /** Called with the answer to a heartbeat that was sent at `sentAt`. */
  readonly onAnswer: (message: ZoneHeartbeat, sentAt: Millis) => void;
  /** Called with the start of the last attempt that a host refused. */
  readonly onRefused: (address: string, attemptAt: Millis) => void;
}

/** For holders of other zones, which exchange free capacity with this one. */
const otherZoneMonitoring: PeerMonitoring = {
  heartbeatRate: HeartbeatRate.Regular,
  isCloselyMonitored: false,
};

interface PeerLink {
  readonly link: CallLink;
  readonly client: ZoneClient;
  readonly lifecycle: Lifecycle;
  /** Whether it is an instance of another zone. */
  isInOtherZone: boolean;
  monitoring: PeerMonitoring;
  /** When the last heartbeat was sent, and the last ping. */
  heartbeatSentAt: Millis;
  pingedAt: Millis;
  /** Start time of the connection on which a heartbeat was last answered. */
  identifiedOn: Millis | undefined;
  /** Whether a heartbeat is unanswered. */
  isHeartbeatPending: boolean;
}

/** Keeps the links to the chosen peers. */
export class PeerLinks {
  private readonly peers = new Map<string, PeerLink>();
  constructor(private readonly options: PeerLinksOptions) {}

  /**
   * Opens links to new peers and closes those to peers that are not listed.
   * `otherZoneAddresses` are those of holders of other zones.
   */
  setPeers(
    sameZonePeers: readonly LinkedPeer[],
    otherZoneAddresses: readonly string[],
  ): void {
    const wanted = new Set<string>(otherZoneAddresses);
    for (const {address, monitoring} of sameZonePeers) {
      wanted.add(address);
      this.ensureLink(address, monitoring, false);
    }
    for (const address of otherZoneAddresses)
      this.ensureLink(address, otherZoneMonitoring, true);
    for (const [address, {lifecycle}] of this.peers) {
      if (wanted.has(address)) continue;
      this.peers.delete(address);
      void lifecycle.close();
    }
  }

  /** Lists the identified peers with the time they last answered. */
  *listAnswers(): Iterable<{readonly address: string; readonly at: Millis}> {
    for (const [address, peer] of this.peers) {
      const at = peer.link.heardAt();
      if (at !== undefined && isIdentified(peer)) yield {address, at};
    }
  }

  /**
   * Sends a heartbeat to each connected peer for which one is due and the last
   * one was answered, or to all connected peers if it is urgent. Closely
   * monitored peers are pinged between heartbeats. All are sent in one turn of
   * the event loop, so that an idle instance wakes up once for them.
   */
  sendHeartbeats(now: Millis, {isUrgent} = {isUrgent: false}): void {
    const {createHeartbeat, onRefused} = this.options;
    const due: PeerLink[] = [];
    for (const peer of this.peers.values()) {
      const {link} = peer;
      const refusedAt = link.refusedAt();
      if (refusedAt !== undefined) onRefused(link.address, refusedAt);
      if (!link.isConnected()) continue;
      const isDue = !peer.isHeartbeatPending && isHeartbeatDue(peer, now);
      if (isUrgent || isDue) due.push(peer);
      else if (isPingDue(peer, now)) pingPeer(peer, now);
    }
    const messages = new Map<boolean, ZoneHeartbeat>();
    for (const peer of due) {
      const {isInOtherZone} = peer;
      const message =
        messages.get(isInOtherZone) ?? createHeartbeat(now, isInOtherZone);
      messages.set(isInOtherZone, message);
      void this.sendHeartbeat(peer, message, now);
    }
  }

  /** Finds the client of a connected peer; none has an undefined address. */
  find(address: string | undefined): ZoneClient | undefined {
    const peer = address === undefined ? undefined : this.peers.get(address);
    return peer?.link.isConnected() ? peer.client : undefined;
  }

  /** Finds the client at each of these addresses, if it is connected. */
  findAll(addresses: readonly string[]): readonly (ZoneClient | undefined)[] {
    return addresses.map(address => this.find(address));
  }

  private ensureLink(
    address: string,
    monitoring: PeerMonitoring,
    isInOtherZone: boolean,
  ): void {
    const peer = this.peers.get(address) ?? this.openPeer(address);
    peer.monitoring = monitoring;
    peer.isInOtherZone = isInOtherZone;
  }

  private openPeer(address: string): PeerLink {
    const {openLink} = this.options;
    const lifecycle = this.options.lifecycle.createChild(`to ${address}`);
    const link = openLink(address, lifecycle);
    const client = new ZoneClient(link);
    const peer: PeerLink = {
      link,
      client,
      lifecycle,
      isInOtherZone: false,
      isHeartbeatPending: false,
      monitoring: otherZoneMonitoring,
      heartbeatSentAt: -Infinity,
      pingedAt: -Infinity,
      identifiedOn: undefined,
    };
    this.peers.set(address, peer);
    return peer;
  }

  private async sendHeartbeat(
    peer: PeerLink,
    message: ZoneHeartbeat,
    sentAt: Millis,
  ): Promise<void> {
    peer.isHeartbeatPending = true;
    peer.heartbeatSentAt = sentAt;
    const {client, link} = peer;
    const connection = link.connectedAt();
    const result = await client.heartbeat(message, HEARTBEAT_TIMEOUT_MS);
    peer.isHeartbeatPending = false;
    if (result.isErr()) return;
    peer.identifiedOn = connection;
    this.options.onAnswer(result.value, sentAt);
  }
}

/** Whether the process at the other end of this connection is identified. */
function isIdentified({identifiedOn, link}: PeerLink): boolean {
  return identifiedOn !== undefined && identifiedOn === link.connectedAt();
}

function isHeartbeatDue(peer: PeerLink, now: Millis): boolean {
  const {monitoring, heartbeatSentAt} = peer;
  const rate = isIdentified(peer)
    ? monitoring.heartbeatRate
    : HeartbeatRate.Urgent;
  return now - heartbeatSentAt >= findHeartbeatInterval(rate);
}

function isPingDue(
  {monitoring, heartbeatSentAt, pingedAt}: PeerLink,
  now: Millis,
): boolean {
  if (!monitoring.isCloselyMonitored) return false;
  return now - Math.max(heartbeatSentAt, pingedAt) >= PING_INTERVAL_MS;
}

function pingPeer(peer: PeerLink, now: Millis): void {
  peer.pingedAt = now;
  peer.link.ping();
}
