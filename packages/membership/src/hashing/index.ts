/**
 * Weighted rendezvous hashing. Every process with the same list of members
 * picks the same member for a key, and adding, removing or reweighting a member
 * moves only the keys that this member gains or loses.
 */
import type {Member} from '@goldcrestpier/peers';
import {hashName, mixHashes, type NameHash} from './hash.js';

/** The member properties that hashing uses. */
export type Candidate = Pick<
  Member,
  'incarnation' | 'zone' | 'instance' | 'weight'
>;

/** Maximum number of cached keys per list of members. */
const MAX_CACHED_KEYS = 100_000;

interface MemberCache {
  readonly hashes: readonly NameHash[];
  readonly memberIndexes: Map<string, number>;
}

/** Lists of members are immutable, so results are cached per list. */
const caches = new WeakMap<readonly Candidate[], MemberCache>();

/** Picks the member for `key`; undefined when there are no members. */
export function pickMember<Each extends Candidate>(
  key: string,
  members: readonly Each[],
): Each | undefined {
  const cache = findCache(members);
  const known = cache.memberIndexes.get(key);
  if (known !== undefined) return members[known];
  const index = findBestIndex(key, members, cache.hashes);
  if (index === undefined) return undefined;
  if (cache.memberIndexes.size >= MAX_CACHED_KEYS) cache.memberIndexes.clear();
  cache.memberIndexes.set(key, index);
  return members[index];
}

/** Sorts all members by their score for `key`, the picked one first. */
export function rankMembers<Each extends Candidate>(
  key: string,
  members: readonly Each[],
): Each[] {
  const {hashes} = findCache(members);
  const keyHash = hashName(key);
  return members
    .map((member, index) => ({
      member,
      score: computeScore(keyHash, hashes[index], member.weight),
    }))
    .sort(
      (a, b) => b.score - a.score || compareIncarnations(a.member, b.member),
    )
    .map(({member}) => member);
}

function findBestIndex(
  key: string,
  members: readonly Candidate[],
  hashes: readonly NameHash[],
): number | undefined {
  const keyHash = hashName(key);
  let best: number | undefined;
  let bestScore = -Infinity;
  for (const [index, member] of members.entries()) {
    const memberScore = computeScore(keyHash, hashes[index], member.weight);
    const isBetter =
      best === undefined ||
      memberScore > bestScore ||
      (memberScore === bestScore &&
        compareIncarnations(member, members[best]!) < 0);
    if (!isBetter) continue;
    best = index;
    bestScore = memberScore;
  }
  return best;
}

/** Computes a score that distributes the keys in proportion to the weights. */
function computeScore(
  key: NameHash,
  member: NameHash | undefined,
  weight: number,
): number {
  if (member === undefined) return -Infinity;
  return -weight / Math.log(mixHashes(key, member));
}

/** Breaks ties: incarnations of the same instance have equal scores. */
function compareIncarnations(a: Candidate, b: Candidate): number {
  if (a.incarnation === b.incarnation) return 0;
  return a.incarnation < b.incarnation ? -1 : 1;
}

function findCache(members: readonly Candidate[]): MemberCache {
  const known = caches.get(members);
  if (known !== undefined) return known;
  // Hashes the name, not the incarnation, so that a restart moves no keys.
  const hashes = members.map(({zone, instance}) =>
    hashName(`${zone}/${instance}`),
  );
  const cache = {hashes, memberIndexes: new Map<string, number>()};
  caches.set(members, cache);
  return cache;
}
