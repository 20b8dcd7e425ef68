/**
 * Evaluates the platform's instance list, which lags behind the actual state
 * of the entry instances.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {InstanceRecord} from './instance.js';

/** State of an instance in the instance list. */
export enum ListedState {
  Live = 'live',
  Leaving = 'leaving',
}

/** An entry of the instance list. */
export interface ListedInstance {
  /** The instance's name within its zone. */
  readonly name: string;
  readonly zone: string;
  readonly state: ListedState;
  /** `host:port` of its listener for other instances. */
  readonly peerAddress: string;
  /** `zone.instance.nonce`; undefined when the platform does not know it. */
  readonly incarnation?: string | undefined;
}

/** Consecutive list responses without an instance until it is delisted. */
const MIN_ABSENCES_TO_DELIST = 2;

/** Updates one instance's record from one response of the instance list. */
export function updatePresence(
  record: InstanceRecord,
  entries: readonly ListedInstance[],
  now: Millis,
): void {
  const {presence, member} = record;
  const entry = entries.find(each => isEntryOf(each, record));
  if (entry !== undefined) {
    presence.hasBeenListed = true;
    presence.consecutiveAbsences = 0;
    // An entry without an incarnation may describe an earlier one.
    record.isListedLeaving =
      entry.incarnation === member.incarnation &&
      entry.state === ListedState.Leaving;
    return;
  }
  if (!presence.hasBeenListed) return;
  if (presence.consecutiveAbsences === 0) presence.absentSince = now;
  presence.consecutiveAbsences += 1;
}

/**
 * Whether the list contained the instance before and has since removed it. One
 * response is not enough, because the list may be incomplete after a restart.
 */
export function isDelisted(
  {presence}: InstanceRecord,
  delistConfirmMs: Millis,
  now: Millis,
): boolean {
  return (
    presence.hasBeenListed &&
    presence.consecutiveAbsences >= MIN_ABSENCES_TO_DELIST &&
    now - presence.absentSince >= delistConfirmMs
  );
}

function isEntryOf(entry: ListedInstance, {member}: InstanceRecord): boolean {
  if (entry.incarnation !== undefined) {
    return entry.incarnation === member.incarnation;
  }
  return entry.name === member.instance && entry.zone === member.zone;
}
