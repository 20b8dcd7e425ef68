/**
 * Decides which incarnations have been replaced by a later one, either at the
 * same address or of the same instance.
 */
import type {Member} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {
  isSameInstance,
  startedBefore,
  type InstanceRecord,
} from './instance.js';

/** Describes a heartbeat of this instance that was answered at an address. */
export interface HeartbeatAck {
  readonly address: string;
  /** When the connection that carried the heartbeat was opened. */
  readonly connectedAt: Millis;
  /** When this instance sent the heartbeat. */
  readonly sentAt: Millis;
}

/**
 * Whether an answer at an address shows that another incarnation there has
 * ended. Only one process listens at an address: the one that accepted the
 * newest connection. An incarnation recorded after this connection is kept: it
 * may be newer, while the answering one drains.
 */
export function isReplacedAtAddress(
  {member, createdAt, lastSeenAt}: InstanceRecord,
  answeringMember: Member,
  {address, connectedAt}: HeartbeatAck,
): boolean {
  if (member.incarnation === answeringMember.incarnation) return false;
  // The list may contain an incarnation that is not listening yet.
  if (lastSeenAt === undefined) return false;
  if (member.peerAddress !== address || createdAt >= connectedAt) return false;
  return !startedBefore(answeringMember, member);
}

/** Whether a later incarnation of the instance answers while this one does not. */
export function isSuperseded(
  record: InstanceRecord,
  records: Iterable<InstanceRecord>,
  isUnresponsive: (other: InstanceRecord) => boolean,
): boolean {
  const silentSince = record.lastSeenAt ?? record.createdAt;
  for (const other of records) {
    const {member, answeredSentAt} = other;
    if (other === record || !isSameInstance(member, record.member)) continue;
    if (answeredSentAt === undefined || answeredSentAt <= silentSince) continue;
    if (isUnresponsive(other)) continue;
    if (!startedBefore(member, record.member)) return true;
  }
  return false;
}
