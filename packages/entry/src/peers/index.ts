/** Handlers of the calls that this instance receives from its peers. */
import type {PeerHandlers, Inspection} from '@goldcrestpier/peers';
import {LogPart, readClock} from '@goldcrestpier/runtime';
import type {Components} from '../start/index.js';
import {createRelayHandlers} from './relay_handlers.js';

/** Components that handle the calls of peers. */
export interface PeerHandlersOptions extends Components {
  readonly inspectSelf: () => Inspection;
}

/** Creates the handlers of all calls of the peer protocol. */
export function createPeerHandlers({
  context,
  platform,
  membership,
  placement,
  sessions,
  inspectSelf,
}: PeerHandlersOptions): PeerHandlers {
  const logger = context.logs.forPart(LogPart.Jobs);
  return {
    ...createRelayHandlers({...sessions, logger}),
    heartbeat: message =>
      callHandler(() => membership.answerHeartbeat(message, readClock())),
    readSettings: ({knownRevision}) =>
      callHandler(() =>
        platform.settingsFollower.getSnapshotIfNewer(knownRevision),
      ),
    demand: message =>
      callHandler(() => placement.demand(message, readClock())),
    settle: message =>
      callHandler(() => placement.settle(message, readClock())),
    offer: message => callHandler(() => placement.offer(message, readClock())),
    inspect: () => callHandler(() => inspectSelf()),
  };
}

/** Calls a handler. An error that it throws rejects the returned promise. */
function callHandler<Value>(handler: () => Value): Promise<Value> {
  return new Promise(resolve => resolve(handler()));
}
