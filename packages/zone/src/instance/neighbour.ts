/** What an instance knows of one other instance of its zone. */
import type {Millis} from '@goldcrestpier/runtime';
import {SILENCE_MS, type Candidate} from '../election/index.js';
import type {ZoneHeartbeat} from '../protocol/index.js';
import {News, silenceOf, type Attention} from './attention.js';

/** Of a neighbour that was not heard yet. */
const newcomer: Attention = {news: News.Urgent, isClose: true};
/** Silence after which any neighbour counts as gone. */
export const LONGEST_SILENCE_MS = silenceOf({news: News.Rare, isClose: false});

/** One address of the zone, and who is there. */
export interface Neighbour {
  readonly address: string;
  id: string;
  /** As registered or told; undefined before either. */
  processors: number | undefined;
  isRegistered: boolean;
  last: ZoneHeartbeat | undefined;
  heardAt: Millis | undefined;
  isRefused: boolean;
  /** Since when a link to it is kept; undefined without one. */
  linkedAt: Millis | undefined;
  attention: Attention;
  /** Since when it is watched closely while it was heard; undefined if not. */
  closeSince: Millis | undefined;
}

/** A neighbour of which nothing is known but its address, and perhaps its id. */
export function createNeighbour(address: string, id: string): Neighbour {
  return {
    address,
    id,
    processors: undefined,
    isRegistered: false,
    last: undefined,
    heardAt: undefined,
    isRefused: false,
    linkedAt: undefined,
    attention: newcomer,
    closeSince: undefined,
  };
}

/** Watches a neighbour as closely as is needed from now on. */
export function setAttention(
  neighbour: Neighbour,
  attention: Attention,
  now: Millis,
): void {
  const wasHeard = isHeard(neighbour, now);
  const wasClose = neighbour.attention.isClose;
  neighbour.attention = attention;
  if (!attention.isClose) neighbour.closeSince = undefined;
  // What was heard before may be old; the next sign of life is waited for.
  else if (!wasClose && wasHeard) neighbour.closeSince = now;
}

/** Whether it counts as there, at the pace at which it is asked. */
export function isHeard(
  {heardAt, closeSince, attention}: Neighbour,
  now: Millis,
): boolean {
  if (heardAt === undefined) return false;
  return now - latestOf(heardAt, closeSince) < silenceOf(attention);
}

/** Whether something was heard at that time, and no longer ago. */
export function isHeardWithin(
  heardAt: Millis | undefined,
  silenceMs: Millis,
  now: Millis,
): boolean {
  return heardAt !== undefined && now - heardAt < silenceMs;
}

/** The latest of some times; none is before all others. */
export function latestOf(...times: readonly (Millis | undefined)[]): Millis {
  return Math.max(...times.map(time => time ?? -Infinity));
}

/** What decides how strong a neighbour is. */
export function toCandidate({id, processors = 0}: Neighbour): Candidate {
  return {id, processors};
}

/** Whether it answers, or may answer in a moment. */
export function isSound(neighbour: Neighbour, now: Millis): boolean {
  if (neighbour.isRefused || neighbour.last?.isLeaving === true) return false;
  if (isHeard(neighbour, now)) return true;
  return neighbour.linkedAt === undefined || isTried(neighbour, now);
}

/** Whether a link to it is too young for its silence to tell anything. */
export function isTried(neighbour: Neighbour, now: Millis): boolean {
  const {isRefused, linkedAt} = neighbour;
  if (linkedAt === undefined || isRefused) return false;
  return !isHeard(neighbour, now) && now - linkedAt < SILENCE_MS;
}
