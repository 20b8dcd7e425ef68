/** What an instance knows about one peer, another instance of its zone. */
import type {Millis} from '@goldcrestpier/runtime';
import {SILENCE_MS, type Candidate} from '../election/index.js';
import type {ZoneHeartbeat} from '../protocol/index.js';
import {
  HeartbeatRate,
  findSilenceTimeout,
  type Attention,
} from './attention.js';

/** The attention for a peer that has not been heard yet. */
const initialAttention: Attention = {news: HeartbeatRate.Urgent, isClose: true};
/** Silence after which any peer counts as failed, in ms. */
export const MAX_SILENCE_TIMEOUT_MS = findSilenceTimeout({
  news: HeartbeatRate.Rare,
  isClose: false,
});

/** One address in the zone, and the instance there. */
export interface Peer {
  readonly address: string;
  id: string;
  /** From its registration or heartbeat; undefined before either. */
  processors: number | undefined;
  isRegistered: boolean;
  lastHeartbeat: ZoneHeartbeat | undefined;
  heardAt: Millis | undefined;
  isRefused: boolean;
  /** When the link to it was opened; undefined without one. */
  linkedAt: Millis | undefined;
  attention: Attention;
  /** When close monitoring of a responsive peer began; undefined otherwise. */
  closeSince: Millis | undefined;
}

/** Creates a peer with a known address; `id` is empty if unknown. */
export function createPeer(address: string, id: string): Peer {
  return {
    address,
    id,
    processors: undefined,
    isRegistered: false,
    lastHeartbeat: undefined,
    heardAt: undefined,
    isRefused: false,
    linkedAt: undefined,
    attention: initialAttention,
    closeSince: undefined,
  };
}

/** Sets how closely a peer is monitored from now on. */
export function setAttention(
  peer: Peer,
  attention: Attention,
  now: Millis,
): void {
  const wasHeard = isHeard(peer, now);
  const wasClose = peer.attention.isClose;
  peer.attention = attention;
  if (!attention.isClose) peer.closeSince = undefined;
  // The last message may be old, so the silence timeout starts again now.
  else if (!wasClose && wasHeard) peer.closeSince = now;
}

/** Whether it was heard within the silence timeout of its attention. */
export function isHeard(
  {heardAt, closeSince, attention}: Peer,
  now: Millis,
): boolean {
  if (heardAt === undefined) return false;
  return now - findLatest(heardAt, closeSince) < findSilenceTimeout(attention);
}

/** Whether `heardAt` is known and less than `silenceMs` ago. */
export function isHeardWithin(
  heardAt: Millis | undefined,
  silenceMs: Millis,
  now: Millis,
): boolean {
  return heardAt !== undefined && now - heardAt < silenceMs;
}

/** Finds the latest time; undefined counts as before all others. */
export function findLatest(...times: readonly (Millis | undefined)[]): Millis {
  return Math.max(...times.map(time => time ?? -Infinity));
}

/** Extracts what the election ranks a peer by. */
export function toCandidate({id, processors = 0}: Peer): Candidate {
  return {id, processors};
}

/** Whether it is responsive, or may be: its link is missing or very new. */
export function isPresumedAlive(peer: Peer, now: Millis): boolean {
  if (peer.isRefused || peer.lastHeartbeat?.isLeaving === true) return false;
  if (isHeard(peer, now)) return true;
  return peer.linkedAt === undefined || isConnecting(peer, now);
}

/** Whether the link to it is too new to draw conclusions from silence. */
export function isConnecting(peer: Peer, now: Millis): boolean {
  const {isRefused, linkedAt} = peer;
  if (linkedAt === undefined || isRefused) return false;
  return !isHeard(peer, now) && now - linkedAt < SILENCE_MS;
}
