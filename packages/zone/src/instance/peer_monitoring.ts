/**
 * Chooses how closely an instance monitors a peer: no more often than the role
 * of the peer and the instance's own situation require.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {SILENCE_MS} from '../election/index.js';

/** How often heartbeats are sent to a peer. */
export enum HeartbeatRate {
  /** No holder is known, or it may have failed. */
  Urgent = 'urgent',
  /** The peer reports configuration changes and a change of holder. */
  Regular = 'regular',
  /** The peer is only tracked in case it is needed later. */
  Rare = 'rare',
}

/** How a peer is monitored. */
export interface PeerMonitoring {
  readonly heartbeatRate: HeartbeatRate;
  /**
   * Whether its failure must be detected quickly, as jobs or a takeover depend
   * on it. It is then also pinged between heartbeats.
   */
  readonly isCloselyMonitored: boolean;
}

/** Interval between pings, in ms; it ends just before a step is due. */
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
export function findMaxSilence({
  heartbeatRate,
  isCloselyMonitored,
}: PeerMonitoring): Millis {
  if (isCloselyMonitored) return SILENCE_MS;
  return SILENCE_MS + findHeartbeatInterval(heartbeatRate) - PING_INTERVAL_MS;
}

/** The state of an instance that decides how it monitors its peers. */
export interface MonitoringContext {
  /** The holder, if one is known. */
  readonly holderId: string | undefined;
  /**
   * No holder is known, or it may have failed or been replaced, so that all
   * peers are asked.
   */
  readonly isHolderUncertain: boolean;
  /** Callers here wait for jobs that the holder runs. */
  readonly hasJobs: boolean;
  /** This instance is the holder. */
  readonly isHolder: boolean;
}

/**
 * Chooses how a peer with a link is monitored. `isCandidate`: this instance may
 * become the next holder.
 */
export function chooseMonitoring(
  id: string,
  {holderId, isHolderUncertain, hasJobs, isHolder}: MonitoringContext,
  isCandidate: boolean,
): PeerMonitoring {
  // The id of a seed address is unknown until its first heartbeat.
  if (isHolderUncertain || id === '')
    return {heartbeatRate: HeartbeatRate.Urgent, isCloselyMonitored: true};
  const isCloselyMonitored = isHolder || isCandidate;
  if (id !== holderId)
    return {heartbeatRate: HeartbeatRate.Rare, isCloselyMonitored};
  return {
    heartbeatRate: HeartbeatRate.Regular,
    isCloselyMonitored: isCloselyMonitored || hasJobs,
  };
}
