/** Incarnations that were never heard here, but whose sessions somebody holds. */
import {parseIncarnation} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {BoundedMap} from './bounded_map.js';
import {isSameInstance, type InstanceRecord} from './instance.js';

/** Incarnations remembered since they were asked for. */
const MAX_ASKED = 1_000;

/** Tells of unknown incarnations whether they have ended. */
export class UnknownIncarnations {
  private readonly askedAt = new BoundedMap<string, Millis>(MAX_ASKED);

  /**
   * Whether `incarnation` has ended for certain. It had started before it was
   * first asked for. When its instance answers a heartbeat that was sent well
   * after that, and as another run, the unknown one ended; an older run may
   * answer for `drainMs` longer, while it drains.
   */
  isEnded(
    incarnation: string,
    records: Iterable<InstanceRecord>,
    drainMs: Millis,
    now: Millis,
  ): boolean {
    const askedAt = this.askedAt.get(incarnation);
    if (askedAt === undefined) {
      this.askedAt.set(incarnation, now);
      return false;
    }
    const unknown = parseIncarnation(incarnation);
    if (unknown === undefined) return false;
    for (const {member, answeredSentAt} of records) {
      if (!isSameInstance(member, unknown)) continue;
      if ((answeredSentAt ?? -Infinity) > askedAt + drainMs) return true;
    }
    return false;
  }
}
