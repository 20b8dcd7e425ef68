/** Locates the owners of sessions with the help of membership. */
import type {Membership} from '@goldcrestpier/membership';
import {
  formatIncarnation,
  isSameIncarnation,
  type Incarnation,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {
  LocationKind,
  type OwnerDirectory,
  type OwnerLocation,
} from './owner_directory.js';

/** Creates the owner directory of the instance `self`. */
export function createOwnerDirectory(
  self: Incarnation,
  membership: Membership,
): OwnerDirectory {
  const selfIncarnation = formatIncarnation(self);
  return {
    locate(owner, now) {
      if (isSameIncarnation(owner, self)) return {kind: LocationKind.Local};
      const ownerIncarnation = formatIncarnation(owner);
      const successor = membership.successorOf(ownerIncarnation, now);
      if (successor === selfIncarnation) return {kind: LocationKind.Adopted};
      if (successor !== undefined)
        return locatePeer(membership, successor, now);
      return locatePeer(membership, ownerIncarnation, now);
    },
  };
}

function locatePeer(
  membership: Membership,
  incarnation: string,
  now: Millis,
): OwnerLocation {
  if (membership.isGone(incarnation, now)) return {kind: LocationKind.Gone};
  const calls = membership.findLink(incarnation);
  if (calls === undefined) return {kind: LocationKind.Unreachable};
  return {
    kind: LocationKind.Peer,
    calls,
    refreshClock: arrivedAt =>
      membership.refreshOwnerClock(incarnation, arrivedAt),
  };
}
