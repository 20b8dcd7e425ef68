/**
 * How closely an instance watches a neighbour. It follows from what has to be
 * known of it, and how soon; nobody is asked more often than that.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {SILENCE_MS} from '../election/index.js';

/** How often a neighbour is asked for its news, by a heartbeat. */
export enum News {
  /** Who holds the workers is not known, or in doubt. */
  Urgent = 'urgent',
  /** It tells of the configuration, and of another holder. */
  Regular = 'regular',
  /** It is asked only in case of need, and has to be known by then. */
  Rare = 'rare',
}

/** How closely a neighbour is watched. */
export interface Attention {
  readonly news: News;
  /**
   * Whether its silence has to be noticed at once, as work or a takeover rests on
   * it. Between heartbeats it is then asked for a sign of life.
   */
  readonly isClose: boolean;
}

/** Pause between two signs of life; a step comes just before it, in ms. */
export const PING_PAUSE_MS: Millis = 140;
/** Pauses between two heartbeats, in ms. */
const URGENT_PAUSE_MS = 140;
const REGULAR_PAUSE_MS = 340;
const RARE_PAUSE_MS = 1_000;

/** The shortest pause between two heartbeats to a neighbour. */
export function pauseOf(news: News): Millis {
  switch (news) {
    case News.Urgent:
      return URGENT_PAUSE_MS;
    case News.Regular:
      return REGULAR_PAUSE_MS;
    case News.Rare:
      return RARE_PAUSE_MS;
  }
}

/** Silence after which a neighbour counts as gone. */
export function silenceOf({news, isClose}: Attention): Millis {
  if (isClose) return SILENCE_MS;
  return SILENCE_MS + pauseOf(news) - PING_PAUSE_MS;
}

/** What an instance is at, as far as its neighbours matter for it. */
export interface Situation {
  /** The holder as far as is known. */
  readonly holderId: string | undefined;
  /** Nobody holds, or the holder is in doubt: everyone is asked. */
  readonly isUnsettled: boolean;
  /** Jobs of callers here are with the holder. */
  readonly hasJobs: boolean;
  /** This instance holds the zone's workers. */
  readonly isHolder: boolean;
}

/**
 * The attention for a neighbour that is linked. `isCandidate`: this instance may
 * hold next.
 */
export function chooseAttention(
  id: string,
  {holderId, isUnsettled, hasJobs, isHolder}: Situation,
  isCandidate: boolean,
): Attention {
  // Who is at an address without an id is only known once it is heard.
  if (isUnsettled || id === '') return {news: News.Urgent, isClose: true};
  const isClose = isHolder || isCandidate;
  if (id !== holderId) return {news: News.Rare, isClose};
  return {news: News.Regular, isClose: isClose || hasJobs};
}
