/**
 * The view of all instances: what they say themselves goes before what the
 * lagging list says of them. An instance that is not heard is only suspect;
 * it is gone when the list dropped it, or when a newer run of it answers.
 */
import {parseIncarnation} from '@goldcrestpier/protocol';
import {MemberState, type Member} from '@goldcrestpier/peers';
import {createTopic, type Millis} from '@goldcrestpier/runtime';
import type {Stream} from 'most';
import {BoundedMap} from './bounded_map.js';
import {
  createRecord,
  InstanceState,
  isSameInstance,
  startedBefore,
  type InstanceRecord,
  type KnownInstance,
  type ViewChange,
} from './instance.js';
import {isDropped, noteListing, type ListedInstance} from './listing.js';
import {UnknownIncarnations, type UnknownTiming} from './unknown.js';

/** Incarnations remembered as gone for ever. */
const MAX_GONE = 20_000;

/** Times of the view. */
export interface ViewTiming extends UnknownTiming {
  /** How long the list must go on without an instance, in ms. */
  readonly dropConfirmMs: Millis;
  /** How long an instance that is silent and unlisted is remembered, in ms. */
  readonly forgetMs: Millis;
  /** Silence after which an instance is suspect, in ms. */
  patience(member: Member): Millis;
}

/** A heartbeat that an instance answered at an address. */
export interface AnswerEvidence {
  readonly address: string;
  /** When the connection was opened that carried it. */
  readonly connectedAt: Millis;
  /** When the heartbeat was sent. */
  readonly sentAt: Millis;
}

/** All instances as seen from one of them. */
export class View {
  private readonly records = new Map<string, InstanceRecord>();
  private readonly gone = new BoundedMap<string, Millis>(MAX_GONE);
  private readonly unknown: UnknownIncarnations;
  private readonly topic = createTopic<ViewChange>();
  private readonly membersByZone = new Map<string, readonly Member[]>();
  /** When this process was found to have been stopped; silence starts anew. */
  private resumedAt: Millis | undefined;

  constructor(
    private self: Member,
    private readonly timing: ViewTiming,
  ) {
    this.unknown = new UnknownIncarnations(timing);
  }

  /** Changes of states, as they are noticed. */
  get changes(): Stream<ViewChange> {
    return this.topic.stream;
  }

  /** Ends the stream of changes. */
  end(): void {
    this.topic.end();
  }

  /** The live members of a zone, this instance with them. The list is fixed. */
  members(zone: string): readonly Member[] {
    const known = this.membersByZone.get(zone);
    if (known !== undefined) return known;
    const members = [...this.records.values()]
      .filter(({state}) => state === InstanceState.Live)
      .map(({member}) => member)
      .concat(this.self.state === MemberState.Live ? [this.self] : [])
      .filter(member => member.zone === zone)
      .sort((a, b) => (a.incarnation < b.incarnation ? -1 : 1));
    this.membersByZone.set(zone, members);
    return members;
  }

  /** Every other instance that is known. */
  instances(): KnownInstance[] {
    return [...this.records.values()].map(toKnown);
  }

  /** One other instance. */
  find(incarnation: string): KnownInstance | undefined {
    const record = this.records.get(incarnation);
    return record === undefined ? undefined : toKnown(record);
  }

  /** Sets what this instance says of itself. */
  setSelf(self: Member, now: Millis): void {
    this.self = self;
    this.membersByZone.delete(self.zone);
    this.topic.publish({now, changed: []});
  }

  /**
   * Takes an instance's word for itself. `evidence` is given when it came as
   * the answer to a heartbeat of this instance. False when it is known to be
   * gone, and nothing it says counts.
   */
  hear(member: Member, now: Millis, evidence?: AnswerEvidence): boolean {
    const {incarnation} = member;
    if (incarnation === this.self.incarnation) return false;
    if (this.gone.has(incarnation)) return false;
    const record = this.records.get(incarnation) ?? this.add(member, now);
    const isMoved = !isSameMember(record.member, member);
    record.member = member;
    record.heardAt = now;
    record.isRefused = false;
    if (evidence !== undefined) {
      record.answeredSentAt = evidence.sentAt;
      this.retireOthersAt(evidence, member, now);
    }
    if (isMoved) this.publish([toKnown(record)], now);
    this.judge(now);
    return true;
  }

  /**
   * Takes a host's word that no process listens at an address. That instance
   * is suspect at once; it may still be draining, so it is not gone.
   */
  noteRefused(address: string, now: Millis): void {
    for (const record of this.records.values()) {
      if (record.member.peerAddress !== address || record.isRefused) continue;
      record.isRefused = true;
      this.judge(now);
    }
  }

  /** Takes one whole answer of the instance list. */
  readList(entries: readonly ListedInstance[], now: Millis): void {
    for (const entry of entries) this.addListed(entry, now);
    for (const record of this.records.values()) {
      noteListing(record, entries, now);
    }
    this.unknown.noteList(entries, this.self, now);
    this.judge(now);
  }

  /** Notes that this process was stopped, so that silence proves nothing. */
  noteResumed(now: Millis): void {
    this.resumedAt = now;
  }

  /** Brings every state up to `now`. */
  judge(now: Millis): void {
    const changed: KnownInstance[] = [];
    for (const record of this.records.values()) {
      const state = this.judgeOne(record, now);
      if (state === record.state) continue;
      record.state = state;
      changed.push(toKnown(record));
    }
    this.forget(now);
    if (changed.length > 0) this.publish(changed, now);
  }

  /**
   * Whether an incarnation has ended for certain. Being unreachable never
   * is enough: it may be on the other side of a cut.
   */
  isGone(incarnation: string, now: Millis): boolean {
    if (incarnation === this.self.incarnation) return false;
    if (this.gone.has(incarnation)) return true;
    const record = this.records.get(incarnation);
    const state = record && this.judgeOne(record, now);
    if (state !== undefined && state !== InstanceState.Suspect) {
      return state === InstanceState.Gone;
    }
    // What the list once showed, it has to drop.
    if (record?.listing.isShown === true) return false;
    if (this.unknown.isUnlisted(incarnation, now)) return true;
    if (record !== undefined) return false;
    return this.unknown.isReplaced(incarnation, this.records.values(), now);
  }

  private add(member: Member, now: Millis): InstanceRecord {
    const record = createRecord(member, now);
    this.records.set(member.incarnation, record);
    return record;
  }

  private addListed(entry: ListedInstance, now: Millis): void {
    const {incarnation, name, zone, peerAddress} = entry;
    if (incarnation === undefined || incarnation === this.self.incarnation) {
      return;
    }
    if (this.gone.has(incarnation) || this.records.has(incarnation)) return;
    if (parseIncarnation(incarnation) === undefined) return;
    const state = MemberState.Live;
    const member = {zone, instance: name, peerAddress, state, weight: 1};
    this.add({incarnation, ...member}, now);
  }

  /**
   * Only one process listens at an address: the one that took the newest
   * connection. One that was first heard after that may be newer still, while
   * the other drains; so it is left alone.
   */
  private retireOthersAt(
    {address, connectedAt}: AnswerEvidence,
    answering: Member,
    now: Millis,
  ): void {
    for (const record of this.records.values()) {
      const {member, createdAt, heardAt} = record;
      if (member.incarnation === answering.incarnation) continue;
      // The list may name a run that does not listen yet.
      if (heardAt === undefined) continue;
      if (member.peerAddress !== address || createdAt >= connectedAt) continue;
      if (startedBefore(answering, member)) continue;
      this.retire(record, now);
    }
  }

  private retire(record: InstanceRecord, now: Millis): void {
    const {incarnation} = record.member;
    if (this.gone.has(incarnation)) return;
    this.gone.set(incarnation, now);
  }

  private judgeOne(record: InstanceRecord, now: Millis): InstanceState {
    const {member} = record;
    if (this.gone.has(member.incarnation)) return InstanceState.Gone;
    if (!this.isSilent(record, now)) {
      const isLeaving =
        record.isListedLeaving || member.state === MemberState.Leaving;
      return isLeaving ? InstanceState.Leaving : InstanceState.Live;
    }
    if (this.isReplaced(record, now)) {
      this.retire(record, now);
      return InstanceState.Gone;
    }
    return isDropped(record, this.timing.dropConfirmMs, now)
      ? InstanceState.Gone
      : InstanceState.Suspect;
  }

  private isSilent(record: InstanceRecord, now: Millis): boolean {
    const {heardAt, isRefused, member} = record;
    if (heardAt === undefined || isRefused) return true;
    const since = Math.max(heardAt, this.resumedAt ?? heardAt);
    return now - since > this.timing.patience(member);
  }

  /** Whether a later run of the same instance answers while this is silent. */
  private isReplaced(record: InstanceRecord, now: Millis): boolean {
    const quietSince = record.heardAt ?? record.createdAt;
    for (const other of this.records.values()) {
      const {member, answeredSentAt} = other;
      if (other === record || !isSameInstance(member, record.member)) continue;
      if (answeredSentAt === undefined || answeredSentAt <= quietSince) {
        continue;
      }
      if (this.isSilent(other, now)) continue;
      if (!startedBefore(member, record.member)) return true;
    }
    return false;
  }

  private forget(now: Millis): void {
    for (const [incarnation, record] of this.records) {
      const quietSince = record.heardAt ?? record.createdAt;
      const {isShown, absences} = record.listing;
      const isListed = isShown && absences === 0;
      const isOld = now - quietSince > this.timing.forgetMs && !isListed;
      if (isOld && record.state === InstanceState.Gone) {
        this.retire(record, now);
      }
      if (isOld || this.gone.has(incarnation)) this.records.delete(incarnation);
    }
  }

  private publish(changed: readonly KnownInstance[], now: Millis): void {
    // Lists of zones without a change stay, and with them what was picked.
    for (const {member} of changed) this.membersByZone.delete(member.zone);
    this.topic.publish({now, changed});
  }
}

function toKnown({member, state, heardAt}: InstanceRecord): KnownInstance {
  return {member, state, heardAt};
}

/** Zone and instance are part of the incarnation. */
function isSameMember(a: Member, b: Member): boolean {
  return a.weight === b.weight && a.peerAddress === b.peerAddress;
}
