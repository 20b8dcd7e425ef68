/** Composes this instance's heartbeats and applies those of its peers. */
import {MAX_ADDRESSES, type Heartbeat, type Member} from '@goldcrestpier/peers';
import type {Millis, Topic} from '@goldcrestpier/runtime';
import {
  sendHeartbeat,
  type RemoteClocks,
  type HeartbeatSchedule,
  type Peer,
  type HeartbeatDelegate,
  type Peers,
} from './heartbeat/index.js';
import type {ReceivedHeartbeat, HeartbeatPayload} from './options.js';
import type {Successors} from './roles/index.js';
import type {PeerAddresses} from './peer_addresses.js';
import {InstanceState, type HeartbeatAck, type View} from './view/index.js';

/** A peer with fewer answers than this counts as new. */
const NEW_PEER_ANSWERS = 3;

/** Dependencies of the heartbeat exchange. */
export interface ExchangeDependencies {
  readonly self: () => Member;
  readonly view: View;
  readonly peers: Peers;
  readonly peerAddresses: PeerAddresses;
  readonly schedule: HeartbeatSchedule;
  readonly clocks: RemoteClocks;
  readonly successors: Successors;
  readonly payload: HeartbeatPayload;
  readonly heartbeats: Topic<ReceivedHeartbeat>;
  readonly clock: () => Millis;
  /** Detects a pause of this process before states are evaluated. */
  readonly checkForPause: (now: Millis) => void;
}

/** Composes, answers and applies heartbeats. */
export class HeartbeatExchange implements HeartbeatDelegate {
  private readonly refreshes = new Map<string, Promise<unknown>>();

  constructor(private readonly dependencies: ExchangeDependencies) {}

  /** Composes the heartbeat to send to an address. */
  composeHeartbeat(address: string, now: Millis): Heartbeat {
    const peer = this.dependencies.peers.find(address);
    const isNewPeer = (peer?.answers ?? 0) < NEW_PEER_ANSWERS;
    const heartbeat = this.buildHeartbeat(peer?.incarnation, isNewPeer, now);
    this.dependencies.schedule.recordHeartbeatSize(
      JSON.stringify(heartbeat).length,
    );
    return heartbeat;
  }

  /** Handles the answer to a heartbeat of this instance. */
  handleAnswer(answer: Heartbeat, ack: HeartbeatAck, now: Millis): void {
    const {peers, peerAddresses, self} = this.dependencies;
    const {from} = answer;
    if (from.incarnation === self().incarnation) {
      // A seed may be an alternative address of this instance itself.
      peerAddresses.addOwnAddress(ack.address);
      this.reconcilePeers(now);
      return;
    }
    const peer = peers.find(ack.address);
    if (peer !== undefined) {
      const isSame = peer.incarnation === from.incarnation;
      peer.answers = isSame ? peer.answers + 1 : 1;
      peer.incarnation = from.incarnation;
    }
    this.applyHeartbeat(answer, now, ack);
  }

  /** The current heartbeat interval for an address, in ms. */
  chooseInterval(address: string): Millis {
    const zone = this.findMember(address)?.zone;
    return this.dependencies.schedule.interval(
      zone === this.dependencies.self().zone,
    );
  }

  /** When the instance at an address last sent a heartbeat or answer. */
  findLastSeenAt(address: string): Millis | undefined {
    const incarnation = this.dependencies.peers.find(address)?.incarnation;
    if (incarnation === undefined) return undefined;
    return this.dependencies.view.find(incarnation)?.lastSeenAt;
  }

  /** Records that the host refused a connection to an address. */
  recordConnectionRefused(address: string, now: Millis): void {
    this.dependencies.view.recordConnectionRefused(address, now);
  }

  /** Handles a peer's heartbeat and returns this instance's heartbeat. */
  answer(message: Heartbeat, now: Millis): Heartbeat {
    const {peers, peerAddresses, view, self} = this.dependencies;
    const {from} = message;
    const isNewPeer = view.find(from.incarnation) === undefined;
    if (from.incarnation !== self().incarnation) {
      const peer = peers.find(from.peerAddress);
      const isKnownAtAddress = peer?.incarnation === from.incarnation;
      if (isKnownAtAddress && peer?.link.isConnected() === true) {
        this.applyHeartbeat(message, now);
      } else {
        // The sender counts as live only once it answers at its own address,
        // because an instance that is unreachable there can't be given work.
        this.applyPayload(message, now);
        peerAddresses.addCandidate(from.peerAddress, now);
        this.reconcilePeers(now);
      }
    }
    return this.buildHeartbeat(from.incarnation, isNewPeer, now);
  }

  /**
   * Reads a peer's clock with an unscheduled heartbeat. Concurrent calls for
   * the same address share one heartbeat.
   */
  async refreshClock({address, link}: Peer, timeoutMs: Millis): Promise<void> {
    const connectedAt = link.connectedAt();
    if (connectedAt === undefined) return;
    const {clock} = this.dependencies;
    const inFlight =
      this.refreshes.get(address) ??
      sendHeartbeat({link, delegate: this, clock}, connectedAt, timeoutMs);
    this.refreshes.set(address, inFlight);
    await inFlight;
    if (this.refreshes.get(address) === inFlight)
      this.refreshes.delete(address);
  }

  /** Opens and closes links to match the known peer addresses. */
  reconcilePeers(now: Millis): void {
    const {peers, schedule, peerAddresses, view, self} = this.dependencies;
    const wanted = peerAddresses.collect(view, now);
    peers.reconcile(wanted, this);
    const {zone, incarnation} = self();
    const sameZone = view
      .members(zone)
      .filter(member => member.incarnation !== incarnation).length;
    schedule.setPeerCounts(sameZone, Math.max(wanted.size - sameZone, 0));
  }

  private applyHeartbeat(
    message: Heartbeat,
    now: Millis,
    ack?: HeartbeatAck,
  ): void {
    this.dependencies.checkForPause(now);
    if (!this.dependencies.view.recordHeartbeat(message.from, now, ack)) return;
    this.applyPayload(message, now);
  }

  private applyPayload(message: Heartbeat, now: Millis): void {
    const {clocks, successors, heartbeats, peerAddresses} = this.dependencies;
    clocks.recordReading(message.from.incarnation, message.sentAt, now);
    successors.record(message.successors, now);
    const {addresses = []} = message;
    for (const address of addresses) peerAddresses.addCandidate(address, now);
    if (addresses.length > 0) this.reconcilePeers(now);
    heartbeats.publish({message, now});
  }

  private buildHeartbeat(
    to: string | undefined,
    isNewPeer: boolean,
    now: Millis,
  ): Heartbeat {
    const {self, payload, successors} = this.dependencies;
    return {
      from: self(),
      sentAt: now,
      settingsRevision: payload.settingsRevision(),
      successors: successors.list(isNewPeer, now),
      ...(isNewPeer ? {addresses: this.listAddresses()} : {}),
      grantsInUse: to === undefined ? [] : payload.grantsInUse(to, now),
      spare: payload.spare(now),
    };
  }

  private listAddresses(): string[] {
    return this.dependencies.view
      .instances()
      .filter(({state}) => state === InstanceState.Live)
      .map(({member}) => member.peerAddress)
      .slice(0, MAX_ADDRESSES);
  }

  private findMember(address: string): Member | undefined {
    const incarnation = this.dependencies.peers.find(address)?.incarnation;
    if (incarnation === undefined) return undefined;
    return this.dependencies.view.find(incarnation)?.member;
  }
}
