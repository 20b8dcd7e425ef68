/**
 * The view of all instances. Heartbeats take precedence over the instance list,
 * which lags. An instance without heartbeats is only suspect; it is gone once
 * the list has removed it or a newer incarnation of it answers.
 */
import {parseIncarnation} from '@goldcrestpier/protocol';
import {MemberState, type Member} from '@goldcrestpier/peers';
import {createTopic, type Millis} from '@goldcrestpier/runtime';
import type {Stream} from 'most';
import {BoundedMap} from './bounded_map.js';
import {
  createRecord,
  InstanceState,
  type InstanceRecord,
  type KnownInstance,
  type ViewChange,
} from './instance.js';
import {isDelisted, updatePresence, type ListedInstance} from './listing.js';
import {
  isReplacedAtAddress,
  isSuperseded,
  type HeartbeatAck,
} from './replacement.js';
import {UnknownIncarnations, type UnknownTiming} from './unknown.js';

/** Maximum number of ended incarnations that are remembered. */
const MAX_GONE_INCARNATIONS = 20_000;

/** Timing of state changes in the view. */
export interface ViewTiming extends UnknownTiming {
  /** How long the list must lack an instance before it is gone, in ms. */
  readonly delistConfirmMs: Millis;
  /** How long to keep the record of a silent, unlisted instance, in ms. */
  readonly retentionMs: Millis;
  /** Time without a heartbeat after which an instance is suspect, in ms. */
  heartbeatTimeout(member: Member): Millis;
}

/** One instance's view of all instances. */
export class View {
  private readonly records = new Map<string, InstanceRecord>();
  private readonly gone = new BoundedMap<string, Millis>(MAX_GONE_INCARNATIONS);
  private readonly unknown: UnknownIncarnations;
  private readonly topic = createTopic<ViewChange>();
  private readonly membersByZone = new Map<string, readonly Member[]>();
  /** End of the last pause of this process; heartbeat timeouts restart here. */
  private resumedAt: Millis | undefined;

  constructor(
    private self: Member,
    private readonly timing: ViewTiming,
  ) {
    this.unknown = new UnknownIncarnations(timing);
  }

  /** Emits every detected change. */
  get changes(): Stream<ViewChange> {
    return this.topic.stream;
  }

  /** Completes the stream of changes. */
  end(): void {
    this.topic.end();
  }

  /** The live members of a zone, including this instance. Never mutated. */
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

  /** All other known instances. */
  instances(): KnownInstance[] {
    return [...this.records.values()].map(toKnown);
  }

  /** Looks up another instance by its incarnation. */
  find(incarnation: string): KnownInstance | undefined {
    const record = this.records.get(incarnation);
    return record === undefined ? undefined : toKnown(record);
  }

  /** Replaces the description of this instance. */
  setSelf(self: Member, now: Millis): void {
    this.self = self;
    this.membersByZone.delete(self.zone);
    this.topic.publish({now, changed: []});
  }

  /**
   * Records a heartbeat of another instance. `ack` is set when it is the answer
   * to a heartbeat of this instance. Returns false when the message has to be
   * ignored: its sender is gone, or is this instance.
   */
  recordHeartbeat(member: Member, now: Millis, ack?: HeartbeatAck): boolean {
    const {incarnation} = member;
    if (incarnation === this.self.incarnation) return false;
    if (this.gone.has(incarnation)) return false;
    const record = this.records.get(incarnation) ?? this.addRecord(member, now);
    const isChanged = !hasSameWeightAndAddress(record.member, member);
    record.member = member;
    record.lastSeenAt = now;
    record.isConnectionRefused = false;
    if (ack !== undefined) {
      record.answeredSentAt = ack.sentAt;
      this.markReplacedGone(member, ack, now);
    }
    if (isChanged) this.publish([toKnown(record)], now);
    this.updateStates(now);
    return true;
  }

  /**
   * Records that a host refused a connection because no process listens there.
   * The instance is suspect at once, but not gone: it may still be draining.
   */
  recordConnectionRefused(address: string, now: Millis): void {
    for (const record of this.records.values()) {
      if (record.member.peerAddress !== address || record.isConnectionRefused)
        continue;
      record.isConnectionRefused = true;
      this.updateStates(now);
    }
  }

  /** Applies one complete response of the instance list. */
  applyInstanceList(entries: readonly ListedInstance[], now: Millis): void {
    for (const entry of entries) this.addListedInstance(entry, now);
    for (const record of this.records.values()) {
      updatePresence(record, entries, now);
    }
    this.unknown.recordList(entries, this.self, now);
    this.updateStates(now);
  }

  /** Records the end of a pause, during which missed heartbeats don't count. */
  recordResume(now: Millis): void {
    this.resumedAt = now;
  }

  /** Re-evaluates the state of every instance at `now`. */
  updateStates(now: Millis): void {
    const changed: KnownInstance[] = [];
    for (const record of this.records.values()) {
      const state = this.evaluateState(record, now);
      if (state === record.state) continue;
      record.state = state;
      changed.push(toKnown(record));
    }
    this.removeExpired(now);
    if (changed.length > 0) this.publish(changed, now);
  }

  /**
   * Whether an incarnation has ended for certain. Being unreachable is not
   * enough, because it may be on the other side of a network partition.
   */
  isGone(incarnation: string, now: Millis): boolean {
    if (incarnation === this.self.incarnation) return false;
    if (this.gone.has(incarnation)) return true;
    const record = this.records.get(incarnation);
    const state = record && this.evaluateState(record, now);
    if (state !== undefined && state !== InstanceState.Suspect) {
      return state === InstanceState.Gone;
    }
    // A listed instance has ended for certain only once the list removes it.
    if (record?.presence.hasBeenListed === true) return false;
    if (this.unknown.isAbsentBeyondLag(incarnation, now)) return true;
    if (record !== undefined) return false;
    return this.unknown.isSuperseded(incarnation, this.records.values(), now);
  }

  private addRecord(member: Member, now: Millis): InstanceRecord {
    const record = createRecord(member, now);
    this.records.set(member.incarnation, record);
    return record;
  }

  private addListedInstance(entry: ListedInstance, now: Millis): void {
    const {incarnation, name, zone, peerAddress} = entry;
    if (incarnation === undefined || incarnation === this.self.incarnation) {
      return;
    }
    if (this.gone.has(incarnation) || this.records.has(incarnation)) return;
    if (parseIncarnation(incarnation) === undefined) return;
    const state = MemberState.Live;
    const member = {zone, instance: name, peerAddress, state, weight: 1};
    this.addRecord({incarnation, ...member}, now);
  }

  private markReplacedGone(
    answeringMember: Member,
    ack: HeartbeatAck,
    now: Millis,
  ): void {
    for (const record of this.records.values()) {
      if (!isReplacedAtAddress(record, answeringMember, ack)) continue;
      this.markGone(record, now);
    }
  }

  private markGone(record: InstanceRecord, now: Millis): void {
    const {incarnation} = record.member;
    if (this.gone.has(incarnation)) return;
    this.gone.set(incarnation, now);
  }

  private evaluateState(record: InstanceRecord, now: Millis): InstanceState {
    const {member} = record;
    if (this.gone.has(member.incarnation)) return InstanceState.Gone;
    if (!this.isUnresponsive(record, now)) {
      const isLeaving =
        record.isListedLeaving || member.state === MemberState.Leaving;
      return isLeaving ? InstanceState.Leaving : InstanceState.Live;
    }
    const isOtherUnresponsive = (other: InstanceRecord) =>
      this.isUnresponsive(other, now);
    if (isSuperseded(record, this.records.values(), isOtherUnresponsive)) {
      this.markGone(record, now);
      return InstanceState.Gone;
    }
    return isDelisted(record, this.timing.delistConfirmMs, now)
      ? InstanceState.Gone
      : InstanceState.Suspect;
  }

  private isUnresponsive(record: InstanceRecord, now: Millis): boolean {
    const {lastSeenAt, isConnectionRefused, member} = record;
    if (lastSeenAt === undefined || isConnectionRefused) return true;
    const silentSince = Math.max(lastSeenAt, this.resumedAt ?? lastSeenAt);
    return now - silentSince > this.timing.heartbeatTimeout(member);
  }

  private removeExpired(now: Millis): void {
    for (const [incarnation, record] of this.records) {
      const silentSince = record.lastSeenAt ?? record.createdAt;
      const {hasBeenListed, consecutiveAbsences} = record.presence;
      const isListed = hasBeenListed && consecutiveAbsences === 0;
      const isOld = now - silentSince > this.timing.retentionMs && !isListed;
      if (isOld && record.state === InstanceState.Gone) {
        this.markGone(record, now);
      }
      if (isOld || this.gone.has(incarnation)) this.records.delete(incarnation);
    }
  }

  private publish(changed: readonly KnownInstance[], now: Millis): void {
    // Unchanged zones keep their arrays: hashing caches its results per array.
    for (const {member} of changed) this.membersByZone.delete(member.zone);
    this.topic.publish({now, changed});
  }
}

function toKnown({member, state, lastSeenAt}: InstanceRecord): KnownInstance {
  return {member, state, lastSeenAt};
}

/** Zone and instance need no comparison: the incarnation contains them. */
function hasSameWeightAndAddress(a: Member, b: Member): boolean {
  return a.weight === b.weight && a.peerAddress === b.peerAddress;
}
