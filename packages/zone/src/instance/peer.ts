/** What an instance knows about one peer, another instance of its zone. */
import type {Millis} from '@goldcrestpier/runtime';
import {SILENCE_MS, type Candidate, type Member} from '../election/index.js';
import type {ZoneHeartbeat} from '../protocol/index.js';
import {
  HeartbeatRate,
  findMaxSilence,
  type PeerMonitoring,
} from './peer_monitoring.js';

/** How a peer that has not been heard yet is monitored. */
const initialMonitoring: PeerMonitoring = {
  heartbeatRate: HeartbeatRate.Urgent,
  isCloselyMonitored: true,
};
/** Silence after which any peer counts as failed, in ms. */
export const MAX_SILENCE_TIMEOUT_MS = findMaxSilence({
  heartbeatRate: HeartbeatRate.Rare,
  isCloselyMonitored: false,
});

/** One address in the zone, and the instance there. */
export interface Peer {
  readonly address: string;
  /** Empty if unknown. */
  readonly id: string;
  /** When this instance became known at the address. */
  readonly knownSince: Millis;
  /** From its registration or heartbeat; undefined before either. */
  processors: number | undefined;
  isRegistered: boolean;
  lastHeartbeat: ZoneHeartbeat | undefined;
  heardAt: Millis | undefined;
  isRefused: boolean;
  /**
   * When the last heartbeat was sent to it whose answer named this instance as
   * the holder.
   */
  followedAt: Millis;
  /** When the link to it was opened; undefined without one. */
  linkedAt: Millis | undefined;
  monitoring: PeerMonitoring;
  /** When close monitoring of a responsive peer began; undefined otherwise. */
  monitoredSince: Millis | undefined;
}

/** Creates a peer with a known address; `id` is empty if unknown. */
export function createPeer(
  address: string,
  id: string,
  knownSince: Millis,
): Peer {
  return {
    address,
    id,
    knownSince,
    processors: undefined,
    isRegistered: false,
    lastHeartbeat: undefined,
    heardAt: undefined,
    isRefused: false,
    followedAt: -Infinity,
    linkedAt: undefined,
    monitoring: initialMonitoring,
    monitoredSince: undefined,
  };
}

/** Sets how closely a peer is monitored from now on. */
export function setMonitoring(
  peer: Peer,
  monitoring: PeerMonitoring,
  now: Millis,
): void {
  const wasResponsive = isResponsive(peer, now);
  const wasCloselyMonitored = peer.monitoring.isCloselyMonitored;
  peer.monitoring = monitoring;
  if (!monitoring.isCloselyMonitored) peer.monitoredSince = undefined;
  // The last message may be old, so the silence timeout starts again now.
  else if (!wasCloselyMonitored && wasResponsive) peer.monitoredSince = now;
}

/** Whether it was heard within its silence timeout. */
export function isResponsive(
  {heardAt, monitoredSince, monitoring}: Peer,
  now: Millis,
): boolean {
  if (heardAt === undefined) return false;
  return now - findLatest(heardAt, monitoredSince) < findMaxSilence(monitoring);
}

/** Whether `heardAt` is known and less than `silenceMs` ago. */
export function wasHeardWithin(
  heardAt: Millis | undefined,
  silenceMs: Millis,
  now: Millis,
): boolean {
  return heardAt !== undefined && now - heardAt < silenceMs;
}

/** Finds the latest time; undefined counts as before all others. */
export function findLatest(
  first: Millis | undefined,
  second: Millis | undefined,
  third: Millis | undefined = undefined,
): Millis {
  return Math.max(first ?? -Infinity, second ?? -Infinity, third ?? -Infinity);
}

/** Extracts what the election ranks a peer by. */
export function toCandidate({id, processors = 0}: Peer): Candidate {
  return {id, processors};
}

/** Whether it is responsive, or may be: it has no link or a very new one. */
export function isPresumedAlive(peer: Peer, now: Millis): boolean {
  if (peer.isRefused || peer.lastHeartbeat?.isLeaving === true) return false;
  if (isResponsive(peer, now)) return true;
  return peer.linkedAt === undefined || isConnecting(peer, now);
}

/** Whether its link is so new that silence doesn't mean a failure. */
export function isConnecting(peer: Peer, now: Millis): boolean {
  const {isRefused, linkedAt} = peer;
  if (linkedAt === undefined || isRefused) return false;
  return !isResponsive(peer, now) && now - linkedAt < SILENCE_MS;
}

/**
 * Until when no peer can have claimed the zone, if this instance holds it: each
 * has heard it, and waits for its own time of silence before it claims. A cut may
 * refuse connections to a peer that lives, and that may claim at once; one that
 * has exited is not registered any more soon after. Nothing is expected of a peer
 * without a link, which normally claims only when the candidates are silent.
 */
export function findProofEnd(peers: Iterable<Peer>): Millis {
  let earliest = Infinity;
  for (const peer of peers) {
    const {id, isRefused, isRegistered, linkedAt, followedAt} = peer;
    const hasExited = isRefused && !isRegistered;
    if (id === '' || hasExited || linkedAt === undefined) continue;
    const silenceMs = isRefused ? 0 : SILENCE_MS;
    earliest = Math.min(earliest, followedAt + silenceMs);
  }
  return earliest;
}

/** Describes a peer for the election. */
export function toMember(peer: Peer, now: Millis): Member {
  const {id, processors = 0, lastHeartbeat, heardAt, isRefused} = peer;
  const holderHeardMs = lastHeartbeat?.holderHeardMs;
  return {
    id,
    processors,
    isConnecting: isConnecting(peer, now),
    isLeaving: lastHeartbeat?.isLeaving ?? false,
    heardAt,
    isResponsive: isResponsive(peer, now),
    isRefused,
    holderId: lastHeartbeat?.claim?.holderId,
    holderHeardAt:
      heardAt === undefined || holderHeardMs === undefined
        ? undefined
        : heardAt - holderHeardMs,
  };
}
