/** Joins membership to the instance list and to what heartbeats carry. */
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

/** Starts membership; the life cycle ends it. */
export function openMembership(
  context: Context,
  {list}: Platform,
  load: HeartbeatPayload,
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
    list: list.polledLists.map(({entries}) => entries.map(toListed)),
    createLink: address =>
      createPeerLink({
        address,
        token,
        self: incarnation,
        logger: logs.forPart(LogPart.Peers),
        lifecycle,
        messageCounter: metrics.peerCounts,
      }),
    payload: load,
    lifecycle,
    logger: logs.forPart(LogPart.Membership),
    clock: readClock,
  });
}

function toListed(entry: ListedEntry): ListedInstance {
  const {name, zone, peerAddress, incarnation} = entry;
  const leaving = entry.state === ServerState.Leaving;
  const state = leaving ? ListedState.Leaving : ListedState.Live;
  return {name, zone, peerAddress, incarnation, state};
}
