/** Tracks the peers in the zone by registrations and heartbeats. */
import type {Millis} from '@goldcrestpier/runtime';
import {SILENCE_MS, type Candidate, type Member} from '../election/index.js';
import type {Registration} from '../ports/index.js';
import type {ZoneHeartbeat} from '../protocol/index.js';
import {InboundConnections} from './inbound_connections.js';
import {
  createPeer,
  isResponsive,
  wasHeardWithin,
  isPresumedAlive,
  findLatest,
  findProofEnd,
  MAX_SILENCE_TIMEOUT_MS,
  setMonitoring,
  toMember,
  type Peer,
} from './peer.js';
import {chooseMonitoring, type MonitoringContext} from './peer_monitoring.js';
import type {LinkChoice} from './link_choice.js';
import {Ranking} from './ranking.js';
import {ZoneRegistrations} from './zone_registrations.js';

/**
 * Number of highest-ranked instances to keep links to; any two of them may fail
 * at once. In a larger zone the others learn about each other through them.
 */
const CANDIDATE_COUNT = 3;
/** Silence after which a closely monitored holder is suspected, in ms. */
const SUSPICION_MS = 300;
/** How long a peer that is neither registered nor heard is kept, in ms. */
const RETENTION_MS = 10_000;
/** How long a stale message may name a replaced instance, in ms. */
const REPLACED_RETENTION_MS = 60_000;

/** Keeps one record for each address in the zone. */
export class ZoneView {
  private readonly peers = new Map<string, Peer>();
  /** When each instance last sent a message other than a heartbeat. */
  private readonly contacts = new Map<string, Millis>();
  /**
   * When a heartbeat showed that another instance is at the address of each of
   * these, so that the process has exited.
   */
  private readonly replacedIds = new Map<string, Millis>();
  private readonly ranking: Ranking;
  private readonly zoneRegistrations: ZoneRegistrations;

  constructor(
    private readonly zone: string,
    private readonly selfAddress: string,
    private readonly self: Candidate,
    private readonly connections = new InboundConnections(),
  ) {
    this.ranking = new Ranking(self);
    this.zoneRegistrations = new ZoneRegistrations(zone, selfAddress);
  }

  /**
   * Chooses the peers to keep links to: the highest-ranked ones presumed alive,
   * unresponsive ones that rank above them, unknown addresses, and the holder.
   */
  chooseLinks(context: MonitoringContext, now: Millis): LinkChoice {
    const {holderId} = context;
    const candidates = this.chooseCandidates(now);
    const isCandidate = candidates.includes(undefined);
    const chosen = new Set(candidates.filter(other => other !== undefined));
    for (const peer of this.peers.values()) {
      // The id of a seed address is unknown until its first heartbeat.
      const isUnknown = peer.id === '';
      if (isUnknown || peer.id === holderId) chosen.add(peer);
      if (!chosen.has(peer)) peer.linkedAt = undefined;
    }
    for (const peer of chosen) {
      peer.linkedAt ??= now;
      const {id} = peer;
      const monitoring = chooseMonitoring(id, context, isCandidate);
      setMonitoring(peer, monitoring, now);
    }
    const links = [...chosen].map(({address, monitoring}) => ({
      address,
      monitoring,
    }));
    return {links, isCandidate};
  }

  /** Whether an instance is suspected: refused connections, or silence. */
  isSuspected(id: string, now: Millis): boolean {
    const peer = this.findById(id);
    if (peer?.isRefused === true) return true;
    if (peer?.monitoring.isCloselyMonitored !== true) return false;
    return now - findLatest(peer.heardAt, peer.monitoredSince) >= SUSPICION_MS;
  }

  /** Chooses the highest-ranked instances; undefined stands for this one. */
  private chooseCandidates(now: Millis): (Peer | undefined)[] {
    const chosen: (Peer | undefined)[] = [];
    let presumedAliveCount = 0;
    for (const peer of this.ranking.list(this.peers.values())) {
      if (presumedAliveCount === CANDIDATE_COUNT) break;
      chosen.push(peer);
      if (peer === undefined || isPresumedAlive(peer, now))
        presumedAliveCount += 1;
    }
    return chosen;
  }

  /** Updates the peers from the platform's list, which may be stale. */
  setRegistrations(list: readonly Registration[], now: Millis): void {
    for (const peer of this.peers.values()) {
      peer.isRegistered = false;
    }
    for (const registration of this.chooseRegistrations(list, now)) {
      const known = this.applyRegistration(registration, now);
      known.isRegistered = true;
      if (known.processors === undefined)
        this.setProcessors(known, registration.processors);
    }
    removeOlder(this.contacts, now - SILENCE_MS);
    removeOlder(this.replacedIds, now - REPLACED_RETENTION_MS);
    for (const [address, {isRegistered, heardAt}] of this.peers) {
      const isOld = now - (heardAt ?? 0) > RETENTION_MS;
      if (!isRegistered && isOld) this.deletePeer(address);
    }
  }

  /** Adds an address at which the instance is unknown. */
  addAddress(address: string): void {
    if (address === this.selfAddress || this.peers.has(address)) return;
    this.setPeer(address, '', -Infinity);
  }

  /** Records a received heartbeat or the answer to a sent one. */
  recordHeartbeat(message: ZoneHeartbeat, now: Millis): void {
    if (message.zone !== this.zone || message.address === this.selfAddress) {
      this.deletePeer(message.address);
      return;
    }
    const {id, address} = message;
    if (this.replacedIds.has(id)) return;
    const before = this.peers.get(address);
    const known = before?.id === id ? before : this.setPeer(address, id, now);
    if (before !== undefined && before.id !== id && before.id !== '')
      this.replacedIds.set(before.id, now);
    known.isRegistered = before?.isRegistered ?? false;
    this.setProcessors(known, message.processors);
    known.lastHeartbeat = message;
    known.heardAt = now;
    known.isRefused = false;
  }

  /**
   * Records that the host refused a connection to the address; the attempt
   * began at `attemptAt`. It says nothing about an instance that became known
   * there, or was heard, later, nor about one with an open connection here.
   */
  recordRefusal(address: string, attemptAt: Millis): void {
    const known = this.peers.get(address);
    if (known === undefined || this.connections.isOpen(known.id)) return;
    const {id, knownSince, heardAt} = known;
    const aliveAt = findLatest(knownSince, heardAt, this.contacts.get(id));
    if (attemptAt >= aliveAt) known.isRefused = true;
  }

  /** Records another message than a heartbeat; its sender is alive too. */
  recordContact(id: string, now: Millis): void {
    this.contacts.set(id, now);
    const known = this.findById(id);
    if (known === undefined) return;
    known.isRefused = false;
    if (known.heardAt !== undefined) known.heardAt = now;
  }

  /** Records when the instance at an address last answered. */
  recordAnswer(address: string, at: Millis): void {
    const known = this.peers.get(address);
    if (known?.heardAt === undefined) return;
    known.heardAt = Math.max(known.heardAt, at);
  }

  /** Records that a peer answered a heartbeat as a follower of this instance. */
  recordFollower(id: string, sentAt: Millis): void {
    const known = this.findById(id);
    if (known === undefined) return;
    known.followedAt = Math.max(known.followedAt, sentAt);
  }

  /** Until when no peer can have claimed the zone, if this instance holds it. */
  findProofEnd(): Millis {
    return findProofEnd(this.peers.values());
  }

  /** Whether the instance was heard recently and isn't refused. */
  isAlive(id: string, now: Millis): boolean {
    const known = this.findById(id);
    // Its host refuses connections, and it has none to this instance.
    if (known?.isRefused === true) return false;
    if (this.hadContact(id, now)) return true;
    return known !== undefined && isResponsive(known, now);
  }

  /** Finds the address of an instance; undefined if unknown. */
  findAddress(id: string): string | undefined {
    return this.findById(id)?.address;
  }

  /** Finds the time since an instance was heard; undefined if refused. */
  findSilence(id: string, now: Millis): Millis | undefined {
    if (id === this.self.id) return 0;
    const known = this.findById(id);
    if (known?.heardAt === undefined || known.isRefused) return undefined;
    return now - known.heardAt;
  }

  /** Lists the members for the election. */
  listMembers(now: Millis): Member[] {
    const members: Member[] = [];
    for (const peer of this.peers.values()) {
      const {id, linkedAt} = peer;
      if (id === '') continue;
      // Silence of a peer without a link says nothing about its state.
      if (linkedAt === undefined && !isResponsive(peer, now)) continue;
      members.push(toMember(peer, now));
    }
    return members;
  }

  /**
   * Chooses one registration for each address: of an instance that has been in
   * contact, or else the last in the list. The entry of a process that was
   * killed is listed beside that of its successor until it expires.
   */
  private chooseRegistrations(
    list: readonly Registration[],
    now: Millis,
  ): Iterable<Registration> {
    const chosen = new Map<string, Registration>();
    for (const registration of this.zoneRegistrations.select(list)) {
      const {id, address} = registration;
      if (this.replacedIds.has(id)) continue;
      const other = chosen.get(address);
      if (other !== undefined && this.hadContact(other.id, now)) continue;
      chosen.set(address, registration);
    }
    return chosen.values();
  }

  /** Returns the peer at the address; one heard recently is not replaced. */
  private applyRegistration({id, address}: Registration, now: Millis): Peer {
    const known = this.peers.get(address);
    if (known === undefined) return this.setPeer(address, id, now);
    if (known.id === id) return known;
    const isHeard = wasHeardWithin(known.heardAt, MAX_SILENCE_TIMEOUT_MS, now);
    if (isHeard || this.hadContact(known.id, now)) return known;
    return this.setPeer(address, id, now);
  }

  /** Sets the instance at an address; nothing of its predecessor is kept. */
  private setPeer(address: string, id: string, now: Millis): Peer {
    const added = createPeer(address, id, now);
    this.peers.set(address, added);
    this.ranking.invalidate();
    return added;
  }

  private deletePeer(address: string): void {
    if (this.peers.delete(address)) this.ranking.invalidate();
  }

  private setProcessors(peer: Peer, processors: number): void {
    if (peer.processors === processors) return;
    peer.processors = processors;
    this.ranking.invalidate();
  }

  private hadContact(id: string, now: Millis): boolean {
    return wasHeardWithin(this.contacts.get(id), SILENCE_MS, now);
  }

  private findById(id: string): Peer | undefined {
    for (const peer of this.peers.values()) {
      if (peer.id === id) return peer;
    }
    return undefined;
  }
}

/** Removes the entries whose time is at or before `until`. */
function removeOlder(times: Map<string, Millis>, until: Millis): void {
  for (const [id, at] of times) if (at <= until) times.delete(id);
}
