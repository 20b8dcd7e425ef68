/** The state that the view keeps for each instance. */
import type {Member} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';

/** The state of another instance, as this instance sees it. */
export enum InstanceState {
  /** Responds and accepts new work. */
  Live = 'live',
  /** Has missed its heartbeat timeout; it may still be running. */
  Suspect = 'suspect',
  /** Responds but accepts no new work. */
  Leaving = 'leaving',
  /** Has ended for certain. This state is final for an incarnation. */
  Gone = 'gone',
}

/** Another instance and its current state in this instance's view. */
export interface KnownInstance {
  readonly member: Member;
  readonly state: InstanceState;
  /** When its last heartbeat or answer arrived; undefined when none has. */
  readonly lastSeenAt: Millis | undefined;
}

/** Published when the state, address or weight of instances changes. */
export interface ViewChange {
  readonly now: Millis;
  /** The changed instances in their new state; empty for a change of self. */
  readonly changed: readonly KnownInstance[];
}

/** Whether the platform's instance list contains an instance. */
export interface ListPresence {
  /** Whether any version of the list has contained the instance. */
  hasBeenListed: boolean;
  /** Number of consecutive list responses without the instance. */
  consecutiveAbsences: number;
  /** When the first of these responses arrived. */
  absentSince: Millis;
}

/** The view's mutable record of one incarnation. */
export interface InstanceRecord {
  member: Member;
  state: InstanceState;
  /** Whether the instance list marks it as leaving. */
  isListedLeaving: boolean;
  lastSeenAt: Millis | undefined;
  /** Whether its host has refused a connection since `lastSeenAt`. */
  isConnectionRefused: boolean;
  /** When this instance sent the newest heartbeat that it answered. */
  answeredSentAt: Millis | undefined;
  readonly createdAt: Millis;
  readonly presence: ListPresence;
}

/** Creates the record of an instance that has not sent anything yet. */
export function createRecord(member: Member, now: Millis): InstanceRecord {
  return {
    member,
    state: InstanceState.Suspect,
    isListedLeaving: false,
    lastSeenAt: undefined,
    isConnectionRefused: false,
    answeredSentAt: undefined,
    createdAt: now,
    presence: {hasBeenListed: false, consecutiveAbsences: 0, absentSince: now},
  };
}

/** Whether two incarnations are of the same instance (zone and name). */
export function isSameInstance(
  a: Pick<Member, 'zone' | 'instance'>,
  b: Pick<Member, 'zone' | 'instance'>,
): boolean {
  return a.instance === b.instance && a.zone === b.zone;
}

/** Whether `a` started before `b`; false when a start time is missing. */
export function startedBefore(a: Member, b: Member): boolean {
  if (a.startedAt === undefined || b.startedAt === undefined) return false;
  return a.startedAt < b.startedAt;
}
