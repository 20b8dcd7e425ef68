/** Who does what a zone needs done once, chosen alike by all its members. */
import type {Member} from '@goldcrestpier/peers';
import {rank} from '../hashing/index.js';

/** The instance that watches the settings, and the one that stands by. */
export interface Watchers {
  readonly watcher: Member | undefined;
  readonly standby: Member | undefined;
}

/** Chooses a zone's settings watcher and its stand-by. */
export function chooseWatchers(
  zone: string,
  members: readonly Member[],
): Watchers {
  const [watcher, standby] = rank(`watcher/${zone}`, weighAlike(members));
  return {watcher, standby};
}

/**
 * The successor of an instance that leaves: of its own zone when that has another
 * live member. `elsewhere` are the live members of the other zones.
 */
export function chooseSuccessor(
  leaving: Member,
  sameZone: readonly Member[],
  elsewhere: readonly Member[],
): Member | undefined {
  const isOther = ({incarnation}: Member) =>
    incarnation !== leaving.incarnation;
  const near = sameZone.filter(isOther);
  const candidates = near.length > 0 ? near : elsewhere.filter(isOther);
  return rank(`successor/${leaving.incarnation}`, candidates)[0];
}

/** A role takes little, so a larger instance need not have it more often. */
function weighAlike(members: readonly Member[]): Member[] {
  return members.map(member => ({...member, weight: 1}));
}
