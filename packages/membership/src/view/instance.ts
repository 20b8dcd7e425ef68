/** What is known of each instance. */
import type {Member} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';

/** Where an instance stands, as seen from here. */
export enum InstanceState {
  /** Answers, and takes new work. */
  Live = 'live',
  /** Has not answered for a while. It may well be alive. */
  Suspect = 'suspect',
  /** Answers, and takes no new work. */
  Leaving = 'leaving',
  /** Ended for certain; it never comes back. */
  Gone = 'gone',
}

/** One instance as seen from here. */
export interface KnownInstance {
  readonly member: Member;
  readonly state: InstanceState;
  /** When it last answered; undefined when it never did. */
  readonly heardAt: Millis | undefined;
}

/** The states of some instances changed. */
export interface ViewChange {
  readonly now: Millis;
  /** The changed ones, as they are now. */
  readonly changed: readonly KnownInstance[];
}

/** Whether the instance list names an instance. */
export interface Listing {
  /** Whether it ever did. */
  isShown: boolean;
  /** Answers without it, in a row. */
  absences: number;
  /** When the first of them came. */
  absentSince: Millis;
}

/** What the view keeps of one incarnation. */
export interface InstanceRecord {
  member: Member;
  state: InstanceState;
  /** Whether the list says that it leaves. */
  isListedLeaving: boolean;
  heardAt: Millis | undefined;
  /** Whether its host said since then that no process listens there. */
  isRefused: boolean;
  /** When the newest heartbeat that it answered had been sent. */
  answeredSentAt: Millis | undefined;
  readonly createdAt: Millis;
  readonly listing: Listing;
}

/** A record of an instance that was never heard. */
export function createRecord(member: Member, now: Millis): InstanceRecord {
  return {
    member,
    state: InstanceState.Suspect,
    isListedLeaving: false,
    heardAt: undefined,
    isRefused: false,
    answeredSentAt: undefined,
    createdAt: now,
    listing: {isShown: false, absences: 0, absentSince: now},
  };
}

/** Whether two incarnations are runs of the same instance. */
export function isSameInstance(
  a: Pick<Member, 'zone' | 'instance'>,
  b: Pick<Member, 'zone' | 'instance'>,
): boolean {
  return a.instance === b.instance && a.zone === b.zone;
}

/** Whether `a` is known to have started before `b`. */
export function startedBefore(a: Member, b: Member): boolean {
  if (a.startedAt === undefined || b.startedAt === undefined) return false;
  return a.startedAt < b.startedAt;
}
