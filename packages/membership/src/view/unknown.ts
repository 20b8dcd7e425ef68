/**
 * Determines whether incarnations have ended that this instance has never seen
 * in the instance list. Callers ask about them because sessions that they owned
 * are still in use. Most of them ended before this process started.
 */
import {parseIncarnation, type Incarnation} from '@goldcrestpier/protocol';
import type {Member} from '@goldcrestpier/peers';
import type {Millis} from '@goldcrestpier/runtime';
import {BoundedMap} from './bounded_map.js';
import {isSameInstance, type InstanceRecord} from './instance.js';
import type {ListedInstance} from './listing.js';

/** Maximum number of incarnations that are tracked at once. */
const MAX_TRACKED_INCARNATIONS = 1_000;

/** Timing for the proof that an unknown incarnation has ended. */
export interface UnknownTiming {
  /** How long an earlier incarnation may answer while it drains, in ms. */
  readonly delistConfirmMs: Millis;
  /** Maximum delay until the list contains a started instance, in ms. */
  readonly listLagMs: Millis;
}

/** What the list has shown since the first query about an incarnation. */
interface TrackedIncarnation {
  readonly identity: Incarnation;
  readonly trackedSince: Millis;
  /** Times of the first and last consecutive list responses without it. */
  absentSince: Millis | undefined;
  absentUntil: Millis | undefined;
}

/** Tracks unknown incarnations until there is proof that they have ended. */
export class UnknownIncarnations {
  private readonly trackedIncarnations = new BoundedMap<
    string,
    TrackedIncarnation
  >(MAX_TRACKED_INCARNATIONS);

  constructor(private readonly timing: UnknownTiming) {}

  /**
   * Whether the list has lacked `incarnation` for longer than the list's lag.
   * The incarnation started before the first query about it, so a list that
   * still lacks it after that time proves that it has ended.
   */
  isAbsentBeyondLag(incarnation: string, now: Millis): boolean {
    const tracked = this.track(incarnation, now);
    if (tracked?.absentSince === undefined) return false;
    const absentUntil = tracked.absentUntil ?? tracked.absentSince;
    return absentUntil - tracked.absentSince >= this.timing.listLagMs;
  }

  /**
   * Whether another incarnation of the instance has answered a heartbeat that was
   * sent more than `delistConfirmMs` after the first query about `incarnation`.
   * Valid only for an incarnation that has never sent anything to this one.
   */
  isSuperseded(
    incarnation: string,
    records: Iterable<InstanceRecord>,
    now: Millis,
  ): boolean {
    const tracked = this.track(incarnation, now);
    if (tracked === undefined) return false;
    const provenFrom = tracked.trackedSince + this.timing.delistConfirmMs;
    for (const {member, answeredSentAt} of records) {
      if (!isSameInstance(member, tracked.identity)) continue;
      if (answeredSentAt !== undefined && answeredSentAt > provenFrom) {
        return true;
      }
    }
    return false;
  }

  /** Processes one complete response of the instance list. */
  recordList(
    entries: readonly ListedInstance[],
    self: Member,
    now: Millis,
  ): void {
    if (this.trackedIncarnations.size === 0) return;
    const zones = new Set(entries.map(({zone}) => zone));
    const listedKeys = new Set(entries.map(getEntryKey));
    // A list without this instance, or without any instance of a zone, is
    // incomplete, so its gaps prove nothing.
    const isSelfListed =
      listedKeys.has(self.incarnation) || listedKeys.has(getInstanceKey(self));
    if (!isSelfListed) return;
    for (const [incarnation, tracked] of this.trackedIncarnations) {
      if (!zones.has(tracked.identity.zone)) continue;
      if (
        listedKeys.has(incarnation) ||
        listedKeys.has(getInstanceKey(tracked.identity))
      ) {
        tracked.absentSince = undefined;
        tracked.absentUntil = undefined;
        continue;
      }
      tracked.absentSince ??= now;
      tracked.absentUntil = now;
    }
  }

  /** Starts tracking on the first query; undefined if malformed. */
  private track(
    incarnation: string,
    now: Millis,
  ): TrackedIncarnation | undefined {
    const known = this.trackedIncarnations.get(incarnation);
    const identity = parseIncarnation(incarnation);
    if (known !== undefined || identity === undefined) return known;
    const entry = {
      identity,
      trackedSince: now,
      absentSince: undefined,
      absentUntil: undefined,
    };
    this.trackedIncarnations.set(incarnation, entry);
    return entry;
  }
}

/** The incarnation if the entry has one, otherwise the zone and name. */
function getEntryKey({zone, name, incarnation}: ListedInstance): string {
  return incarnation ?? `${zone}/${name}`;
}

function getInstanceKey({
  zone,
  instance,
}: Pick<Member, 'zone' | 'instance'>): string {
  return `${zone}/${instance}`;
}
