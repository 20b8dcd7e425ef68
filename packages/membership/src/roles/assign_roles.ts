/** Assigns roles. All members of a zone compute the same assignment. */
import type {Member} from '@goldcrestpier/peers';
import {rankMembers} from '../hashing/index.js';

/** The instance that watches the settings for a zone, and its standby. */
export interface SettingsWatchers {
  readonly watcher: Member | undefined;
  readonly standby: Member | undefined;
}

/** Chooses a zone's settings watcher and its standby. */
export function chooseSettingsWatchers(
  zone: string,
  members: readonly Member[],
): SettingsWatchers {
  const [watcher, standby] = rankMembers(
    `watcher/${zone}`,
    withEqualWeights(members),
  );
  return {watcher, standby};
}

/**
 * Chooses the successor of a leaving instance: a member of the same zone if
 * there is another one, otherwise a live member of the other zones.
 */
export function chooseSuccessor(
  leaving: Member,
  sameZoneMembers: readonly Member[],
  otherZoneMembers: readonly Member[],
): Member | undefined {
  const isOther = ({incarnation}: Member) =>
    incarnation !== leaving.incarnation;
  const sameZoneCandidates = sameZoneMembers.filter(isOther);
  const candidates =
    sameZoneCandidates.length > 0
      ? sameZoneCandidates
      : otherZoneMembers.filter(isOther);
  return rankMembers(`successor/${leaving.incarnation}`, candidates)[0];
}

/** A role costs little, so instance weights are ignored. */
function withEqualWeights(members: readonly Member[]): Member[] {
  return members.map(member => ({...member, weight: 1}));
}
