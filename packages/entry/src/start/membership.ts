/** Connects membership to the instance list and to the heartbeat payload. */
import {
  createMembership,
  ListedState,
  type HeartbeatPayload,
  type ListedInstance,
  type Membership,
} from '@goldcrestpier/membership';
import {createPeerLink} from '@goldcrestpier/peers';
import {ServerState, type ListedEntry} from '@goldcrestpier/platform';
import {LogPart, readClock} from '@goldcrestpier/runtime';
import {formatHostPort} from '@goldcrestpier/settings';
import type {Context} from './context.js';
import type {Platform} from './platform.js';

/** Starts membership; the lifecycle stops it. */
export function openMembership(
  context: Context,
  {instanceList}: Platform,
  payload: HeartbeatPayload,
): Membership {
  const {settings, incarnation, lifecycle, logs, metrics} = context;
  const {listen, advertise, seeds, token} = settings.peers;
  return createMembership({
    self: {
      incarnation,
      zone: settings.zone,
      instance: settings.instance,
      peerAddress: formatHostPort(advertise ?? listen),
      weight: settings.weight,
      startedAt: Date.now(),
    },
    seeds: seeds.map(formatHostPort),
    list: instanceList.polledLists.map(({entries}) =>
      entries.map(toListedInstance),
    ),
    createLink: address =>
      createPeerLink({
        address,
        token,
        self: incarnation,
        logger: logs.forPart(LogPart.Peers),
        lifecycle,
        messageCounter: metrics.peerMessageCounter,
      }),
    payload,
    lifecycle,
    logger: logs.forPart(LogPart.Membership),
    clock: readClock,
  });
}

function toListedInstance(entry: ListedEntry): ListedInstance {
  const {name, zone, peerAddress, incarnation} = entry;
  const isLeaving = entry.state === ServerState.Leaving;
  const state = isLeaving ? ListedState.Leaving : ListedState.Live;
  return {name, zone, peerAddress, incarnation, state};
}
