/** Opens the listeners for callers, peers and operators. */
import type {Server} from 'node:http';
import {
  createOperatorsServer,
  type FleetOperations,
  type SettingsOperations,
} from '@goldcrestpier/operators';
import {startPeerServer, type PeerHandlers} from '@goldcrestpier/peers';
import {LogPart} from '@goldcrestpier/runtime';
import {createCallersServer, type CallersOptions} from '../callers/index.js';
import type {Context} from './context.js';
import {listen} from './listen.js';

/** Opens the peers' listener; rejects if the address cannot be opened. */
export async function listenForPeers(
  {settings, logs, lifecycle, metrics}: Context,
  handlers: PeerHandlers,
): Promise<void> {
  const started = await startPeerServer({
    listen: settings.peers.listen,
    token: settings.peers.token,
    handlers,
    logger: logs.forPart(LogPart.Peers),
    lifecycle,
    messageCounter: metrics.peerMessageCounter,
  });
  if (started.isOk()) return;
  const {host, port, code} = started.error;
  throw new ListenError(`${host}:${port}`, code);
}

/** Opens the callers' listener; rejects if the address cannot be opened. */
export async function listenForCallers(
  {settings, logs, lifecycle, metrics}: Context,
  options: Pick<CallersOptions, 'gateway' | 'readiness' | 'arrivalTime'>,
): Promise<Server> {
  const server = createCallersServer({
    ...options,
    limits: settings.callers,
    readMetrics: () => metrics.render(),
    countRequest: (route, status) => metrics.countRequest(route, status),
    logger: logs.forPart(LogPart.Callers),
  });
  await listen(server, settings.callers.listen, lifecycle);
  return server;
}

/** Opens the operators' listener; rejects if the address cannot be opened. */
export async function listenForOperators(
  {settings, logs, lifecycle}: Context,
  operations: {
    readonly settings: SettingsOperations;
    readonly fleet: FleetOperations;
  },
): Promise<void> {
  const server = createOperatorsServer({
    ...operations,
    token: settings.operators.token,
    logger: logs.forPart(LogPart.Operators),
  });
  await listen(server, settings.operators.listen, lifecycle);
}

/** A listener could not open its address; `code` is that of the system error. */
class ListenError extends Error {
  constructor(address: string, code: string) {
    super(`${address}: ${code}`);
  }
}
