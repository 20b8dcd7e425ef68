/**
 * Rendezvous hashing, weighted by the members' sizes: every process that sees
 * the same members picks the same one, and a change of one member moves only
 * the keys that it wins or loses.
 */
import type {Member} from '@goldcrestpier/peers';
import {hashName, mixHashes, type NameHash} from './hash.js';

/** What hashing needs to know of a member. */
export type Candidate = Pick<
  Member,
  'incarnation' | 'zone' | 'instance' | 'weight'
>;

/** Keys remembered for one list of members. */
const MAX_CACHED_KEYS = 100_000;

interface Cache {
  readonly hashes: readonly NameHash[];
  readonly picked: Map<string, number>;
}

/** Lists of members do not change, so what was picked from one stays. */
const caches = new WeakMap<readonly Candidate[], Cache>();

/** The member that `key` belongs to; undefined when there is none. */
export function pickHolder<Each extends Candidate>(
  key: string,
  members: readonly Each[],
): Each | undefined {
  const cache = findCache(members);
  const known = cache.picked.get(key);
  if (known !== undefined) return members[known];
  const index = findBest(key, members, cache.hashes);
  if (index === undefined) return undefined;
  if (cache.picked.size >= MAX_CACHED_KEYS) cache.picked.clear();
  cache.picked.set(key, index);
  return members[index];
}

/** All members, the one that `key` belongs to first. */
export function rank<Each extends Candidate>(
  key: string,
  members: readonly Each[],
): Each[] {
  const {hashes} = findCache(members);
  const keyHash = hashName(key);
  return members
    .map((member, index) => ({
      member,
      score: score(keyHash, hashes[index], member.weight),
    }))
    .sort((a, b) => b.score - a.score || compare(a.member, b.member))
    .map(({member}) => member);
}

function findBest(
  key: string,
  members: readonly Candidate[],
  hashes: readonly NameHash[],
): number | undefined {
  const keyHash = hashName(key);
  let best: number | undefined;
  let bestScore = -Infinity;
  for (const [index, member] of members.entries()) {
    const ownScore = score(keyHash, hashes[index], member.weight);
    const isBetter =
      best === undefined ||
      ownScore > bestScore ||
      (ownScore === bestScore && compare(member, members[best]!) < 0);
    if (!isBetter) continue;
    best = index;
    bestScore = ownScore;
  }
  return best;
}

/** Weighted so that a member's share of the keys is its share of the weights. */
function score(
  key: NameHash,
  member: NameHash | undefined,
  weight: number,
): number {
  if (member === undefined) return -Infinity;
  return -weight / Math.log(mixHashes(key, member));
}

/** Two members of one name have one score; their incarnations differ. */
function compare(a: Candidate, b: Candidate): number {
  if (a.incarnation === b.incarnation) return 0;
  return a.incarnation < b.incarnation ? -1 : 1;
}

function findCache(members: readonly Candidate[]): Cache {
  const known = caches.get(members);
  if (known !== undefined) return known;
  // By name and not by incarnation: a restart moves nothing.
  const hashes = members.map(({zone, instance}) =>
    hashName(`${zone}/${instance}`),
  );
  const cache = {hashes, picked: new Map<string, number>()};
  caches.set(members, cache);
  return cache;
}
