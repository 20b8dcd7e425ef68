/** What the platform's lagging instance list says of entry instances. */
import type {Millis} from '@goldcrestpier/runtime';
import type {InstanceRecord} from './instance.js';

/** How the list names an instance's state. */
export enum ListedState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One entry instance of the instance list. */
export interface ListedInstance {
  /** The instance's name within its zone. */
  readonly name: string;
  readonly zone: string;
  readonly state: ListedState;
  /** `host:port` of its peers' listener. */
  readonly peerAddress: string;
  /** `zone.instance.nonce`, when the platform knows it. */
  readonly incarnation?: string | undefined;
}

/** Answers without an instance, in a row, before it counts as dropped. */
const ABSENCES_TO_DROP = 2;

/** Notes what one answer of the list says of one instance. */
export function noteListing(
  record: InstanceRecord,
  entries: readonly ListedInstance[],
  now: Millis,
): void {
  const {listing, member} = record;
  const entry = entries.find(each => isEntryOf(each, record));
  if (entry !== undefined) {
    listing.isShown = true;
    listing.absences = 0;
    // Without its incarnation an entry may still speak of an earlier run.
    record.isListedLeaving =
      entry.incarnation === member.incarnation &&
      entry.state === ListedState.Leaving;
    return;
  }
  if (!listing.isShown) return;
  if (listing.absences === 0) listing.absentSince = now;
  listing.absences += 1;
}

/**
 * Whether the list has dropped the instance after having shown it. One answer
 * is not enough: a list that has just been restarted may be short.
 */
export function isDropped(
  {listing}: InstanceRecord,
  confirmMs: Millis,
  now: Millis,
): boolean {
  return (
    listing.isShown &&
    listing.absences >= ABSENCES_TO_DROP &&
    now - listing.absentSince >= confirmMs
  );
}

function isEntryOf(entry: ListedInstance, {member}: InstanceRecord): boolean {
  if (entry.incarnation !== undefined) {
    return entry.incarnation === member.incarnation;
  }
  return entry.name === member.instance && entry.zone === member.zone;
}
