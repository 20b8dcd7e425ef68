/** Finds owners among the members that this instance knows. */
import type {Membership} from '@goldcrestpier/membership';
import {
  formatIncarnation,
  isSameIncarnation,
  type Incarnation,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {
  OwnerPlace,
  type OwnerDirectory,
  type OwnerLocation,
} from './directory.js';

/** Creates the directory of one instance. */
export function createMemberDirectory(
  self: Incarnation,
  membership: Membership,
): OwnerDirectory {
  const here = formatIncarnation(self);
  return {
    locate(owner, now) {
      if (isSameIncarnation(owner, self)) return {kind: OwnerPlace.Here};
      const name = formatIncarnation(owner);
      const successor = membership.successorOf(name, now);
      if (successor === here) return {kind: OwnerPlace.Adopted};
      if (successor !== undefined)
        return locatePeer(membership, successor, now);
      return locatePeer(membership, name, now);
    },
  };
}

function locatePeer(
  membership: Membership,
  incarnation: string,
  now: Millis,
): OwnerLocation {
  if (membership.isGone(incarnation, now)) return {kind: OwnerPlace.Gone};
  const calls = membership.findLink(incarnation);
  if (calls === undefined) return {kind: OwnerPlace.Unreachable};
  return {
    kind: OwnerPlace.Peer,
    calls,
    learnClock: arrivedAt =>
      membership.refreshOwnerClock(incarnation, arrivedAt),
  };
}
