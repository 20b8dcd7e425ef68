/** What this instance tells its peers, and what it takes from their words. */
import {MAX_ADDRESSES, type Heartbeat, type Member} from '@goldcrestpier/peers';
import type {Millis, Topic} from '@goldcrestpier/runtime';
import {
  sendHeartbeat,
  type OwnerClocks,
  type Pace,
  type Peer,
  type PeerLoopOwner,
  type Peers,
} from './heartbeat/index.js';
import type {HeardHeartbeat, HeartbeatLoad} from './options.js';
import type {Successors} from './roles/index.js';
import type {Targets} from './targets.js';
import {InstanceState, type AnswerEvidence, type View} from './view/index.js';

/** An instance that answered fewer times than this is a newcomer. */
const NEWCOMER_ANSWERS = 3;

/** The parts that an exchange works on. */
export interface ExchangeParts {
  readonly self: () => Member;
  readonly view: View;
  readonly peers: Peers;
  readonly targets: Targets;
  readonly pace: Pace;
  readonly clocks: OwnerClocks;
  readonly successors: Successors;
  readonly load: HeartbeatLoad;
  readonly heartbeats: Topic<HeardHeartbeat>;
  readonly clock: () => Millis;
  /** Notices a stop of this process before anything is judged. */
  readonly notice: (now: Millis) => void;
}

/** Composes heartbeats and takes those of others. */
export class Exchange implements PeerLoopOwner {
  private readonly refreshes = new Map<string, Promise<unknown>>();

  constructor(private readonly parts: ExchangeParts) {}

  /** The heartbeat to send to an address. */
  compose(address: string, now: Millis): Heartbeat {
    const peer = this.parts.peers.find(address);
    const isNewcomer = (peer?.answers ?? 0) < NEWCOMER_ANSWERS;
    const heartbeat = this.describe(peer?.incarnation, isNewcomer, now);
    this.parts.pace.noteHeartbeat(JSON.stringify(heartbeat).length);
    return heartbeat;
  }

  /** Takes the answer to a heartbeat of this instance. */
  takeAnswer(answer: Heartbeat, evidence: AnswerEvidence, now: Millis): void {
    const {peers, targets, self} = this.parts;
    const {from} = answer;
    if (from.incarnation === self().incarnation) {
      // A seed may name this instance by an address of another form.
      targets.noteOwn(evidence.address);
      this.keepPeers(now);
      return;
    }
    const peer = peers.find(evidence.address);
    if (peer !== undefined) {
      const isSame = peer.incarnation === from.incarnation;
      peer.answers = isSame ? peer.answers + 1 : 1;
      peer.incarnation = from.incarnation;
    }
    this.take(answer, now, evidence);
  }

  /** The present interval to an address, in ms. */
  chooseInterval(address: string): Millis {
    const zone = this.findMember(address)?.zone;
    return this.parts.pace.interval(zone === this.parts.self().zone);
  }

  /** When the instance at an address was last heard. */
  findHeardAt(address: string): Millis | undefined {
    const incarnation = this.parts.peers.find(address)?.incarnation;
    if (incarnation === undefined) return undefined;
    return this.parts.view.find(incarnation)?.heardAt;
  }

  /** Takes a host's word that no process listens at an address. */
  noteRefused(address: string, now: Millis): void {
    this.parts.view.noteRefused(address, now);
  }

  /** Answers a peer's heartbeat with this instance's own. */
  answer(message: Heartbeat, now: Millis): Heartbeat {
    const {peers, targets, view, self} = this.parts;
    const {from} = message;
    const isNewcomer = view.find(from.incarnation) === undefined;
    if (from.incarnation !== self().incarnation) {
      const peer = peers.find(from.peerAddress);
      const isKnownThere = peer?.incarnation === from.incarnation;
      if (isKnownThere && peer?.link.isConnected() === true) {
        this.take(message, now);
      } else {
        // It counts as live once it answers at its address as well: an
        // instance that hears but cannot be reached is of no use.
        this.takeRiders(message, now);
        targets.noteClaim(from.peerAddress, now);
        this.keepPeers(now);
      }
    }
    return this.describe(from.incarnation, isNewcomer, now);
  }

  /**
   * Hears the clock of a peer now, out of turn. Those who ask while one is
   * under way share its answer.
   */
  async refresh({address, link}: Peer, timeoutMs: Millis): Promise<void> {
    const connectedAt = link.connectedAt();
    if (connectedAt === undefined) return;
    const {clock} = this.parts;
    const underWay =
      this.refreshes.get(address) ??
      sendHeartbeat({link, owner: this, clock}, connectedAt, timeoutMs);
    this.refreshes.set(address, underWay);
    await underWay;
    if (this.refreshes.get(address) === underWay)
      this.refreshes.delete(address);
  }

  /** Opens and closes links to fit what is known. */
  keepPeers(now: Millis): void {
    const {peers, pace, targets, view, self} = this.parts;
    const wanted = targets.collect(view, now);
    peers.keep(wanted, this);
    const {zone, incarnation} = self();
    const sameZone = view
      .members(zone)
      .filter(member => member.incarnation !== incarnation).length;
    pace.noteCounts(sameZone, Math.max(wanted.size - sameZone, 0));
  }

  private take(
    message: Heartbeat,
    now: Millis,
    evidence?: AnswerEvidence,
  ): void {
    this.parts.notice(now);
    if (!this.parts.view.hear(message.from, now, evidence)) return;
    this.takeRiders(message, now);
  }

  private takeRiders(message: Heartbeat, now: Millis): void {
    const {clocks, successors, heartbeats, targets} = this.parts;
    clocks.note(message.from.incarnation, message.sentAt, now);
    successors.note(message.successors, now);
    const {addresses = []} = message;
    for (const address of addresses) targets.noteClaim(address, now);
    if (addresses.length > 0) this.keepPeers(now);
    heartbeats.publish({message, now});
  }

  private describe(
    to: string | undefined,
    isNewcomer: boolean,
    now: Millis,
  ): Heartbeat {
    const {self, load, successors} = this.parts;
    return {
      from: self(),
      sentAt: now,
      settingsRevision: load.settingsRevision(),
      successors: successors.list(isNewcomer, now),
      ...(isNewcomer ? {addresses: this.listAddresses()} : {}),
      grantsInUse: to === undefined ? [] : load.grantsInUse(to, now),
      spare: load.spare(now),
    };
  }

  private listAddresses(): string[] {
    return this.parts.view
      .instances()
      .filter(({state}) => state === InstanceState.Live)
      .map(({member}) => member.peerAddress)
      .slice(0, MAX_ADDRESSES);
  }

  private findMember(address: string): Member | undefined {
    const incarnation = this.parts.peers.find(address)?.incarnation;
    if (incarnation === undefined) return undefined;
    return this.parts.view.find(incarnation)?.member;
  }
}
