/** What this instance does with the calls of its peers. */
import type {PeerHandlers, Inspection} from '@goldcrestpier/peers';
import {LogPart, readClock} from '@goldcrestpier/runtime';
import type {Parts} from '../start/index.js';
import {createRelayHandlers} from './relayed.js';

/** The parts that answer peers. */
export interface PeerHandlersOptions extends Parts {
  readonly inspectSelf: () => Inspection;
}

/** Creates the handlers of all calls. */
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
      answer(() => membership.answerHeartbeat(message, readClock())),
    readSettings: ({knownRevision}) =>
      answer(() => platform.follower.getSnapshotIfNewer(knownRevision)),
    demand: message => answer(() => placement.demand(message, readClock())),
    settle: message => answer(() => placement.settle(message, readClock())),
    offer: message => answer(() => placement.offer(message, readClock())),
    inspect: () => answer(() => inspectSelf()),
  };
}

/** An exception becomes a rejection, which the caller is answered with. */
function answer<Value>(make: () => Value): Promise<Value> {
  return new Promise(resolve => resolve(make()));
}
