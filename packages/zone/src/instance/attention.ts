/**
 * Chooses how closely an instance monitors a peer: no more often than the role
 * of the peer and the instance's own situation require.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {SILENCE_MS} from '../election/index.js';

/** How often heartbeats are sent to a peer. */
export enum HeartbeatRate {
  /** The holder is unknown or in doubt. */
  Urgent = 'urgent',
  /** The peer reports configuration changes and a change of holder. */
  Regular = 'regular',
  /** The peer only has to be known in case it is needed later. */
  Rare = 'rare',
}

/** How closely a peer is monitored. */
export interface Attention {
  readonly news: HeartbeatRate;
  /**
   * Whether its failure must be detected quickly, as jobs or a takeover depend
   * on it. It is then also pinged between heartbeats.
   */
  readonly isClose: boolean;
}

/** Interval between pings, in ms; it is over just before a step is due. */
export const PING_INTERVAL_MS: Millis = 140;
/** Intervals between heartbeats, in ms. */
const URGENT_INTERVAL_MS = 140;
const REGULAR_INTERVAL_MS = 340;
const RARE_INTERVAL_MS = 1_000;

/** Finds the minimum interval between two heartbeats to a peer, in ms. */
export function findHeartbeatInterval(rate: HeartbeatRate): Millis {
  switch (rate) {
    case HeartbeatRate.Urgent:
      return URGENT_INTERVAL_MS;
    case HeartbeatRate.Regular:
      return REGULAR_INTERVAL_MS;
    case HeartbeatRate.Rare:
      return RARE_INTERVAL_MS;
  }
}

/** Finds the silence after which a peer counts as failed, in ms. */
export function findSilenceTimeout({news, isClose}: Attention): Millis {
  if (isClose) return SILENCE_MS;
  return SILENCE_MS + findHeartbeatInterval(news) - PING_INTERVAL_MS;
}

/** The state of an instance that decides how it monitors its peers. */
export interface AttentionContext {
  /** The holder, if one is known. */
  readonly holderId: string | undefined;
  /** There is no holder or it is in doubt, so that all peers are asked. */
  readonly isUnsettled: boolean;
  /** Callers here wait for jobs that the holder runs. */
  readonly hasJobs: boolean;
  /** This instance is the holder. */
  readonly isHolder: boolean;
}

/**
 * Chooses the attention for a peer with a link. `isCandidate`: this instance
 * may become the next holder.
 */
export function chooseAttention(
  id: string,
  {holderId, isUnsettled, hasJobs, isHolder}: AttentionContext,
  isCandidate: boolean,
): Attention {
  // The id of a seed address is unknown until its first heartbeat.
  if (isUnsettled || id === '')
    return {news: HeartbeatRate.Urgent, isClose: true};
  const isClose = isHolder || isCandidate;
  if (id !== holderId) return {news: HeartbeatRate.Rare, isClose};
  return {news: HeartbeatRate.Regular, isClose: isClose || hasJobs};
}
