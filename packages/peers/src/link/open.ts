/** Opens a WebSocket connection to a peer's listener. */
import type {Duplex} from 'node:stream';
import {formatAuthorization} from '@goldcrestpier/http';
import {Err, Ok, type Result} from 'ts-results-es';
import {WebSocket} from 'ws';
import {INCARNATION_HEADER} from '../incarnation_header.js';
import type {PeerLinkLimits} from './limits.js';

/** Matches `host:port` only, without characters that would change the URL's target. */
const ADDRESS_PATTERN =
  /^(?:\[[0-9a-fA-F:.]+\]|[0-9A-Za-z](?:[0-9A-Za-z.-]*)):[0-9]{1,5}$/;
/** HTTP status of the response to a wrong token. */
const UNAUTHORIZED = 401;

/** Why a connection could not be opened. */
export enum OpenFailure {
  /** The address is not `host:port`. */
  BadAddress = 'bad_address',
  /** The host refused the connection: no process listens on the port. */
  NotListening = 'not_listening',
  /** No response, or not one of a WebSocket server. */
  Unreachable = 'unreachable',
  /** The peer rejected this process's token. */
  Unauthorized = 'unauthorized',
  /** The peer rejected the upgrade, for example at its connection limit. */
  Refused = 'refused',
}

/** The peer's address and the credentials to send. */
export interface OpenOptions {
  /** `host:port` of the peer's listener. */
  readonly address: string;
  readonly token: string;
  /** Incarnation of this process, sent to the peer as a header. */
  readonly self: string;
}

/** An open WebSocket and its underlying stream. */
export interface OpenedSocket {
  readonly socket: WebSocket;
  readonly stream: Duplex;
}

/** Opens a connection to a peer; fails when `signal` aborts. */
export async function openSocket(
  options: OpenOptions,
  limits: PeerLinkLimits,
  signal: AbortSignal,
): Promise<Result<OpenedSocket, OpenFailure>> {
  const socket = createSocket(options, limits);
  if (socket === undefined) return Err(OpenFailure.BadAddress);
  const abort = () => socket.terminate();
  signal.addEventListener('abort', abort, {once: true});
  let stream: Duplex | undefined;
  socket.once('upgrade', response => {
    stream = response.socket;
  });
  const failure = await new Promise<OpenFailure | undefined>(resolve => {
    socket.once('open', () => resolve(undefined));
    socket.once('close', () => resolve(OpenFailure.Unreachable));
    socket.once('unexpected-response', (request, response) => {
      resolve(toOpenFailure(response.statusCode));
      request.destroy();
    });
    // Without a listener, an error event would end the process. A close follows.
    socket.on('error', (error: NodeJS.ErrnoException) => {
      const isRefused = error.code === 'ECONNREFUSED';
      resolve(isRefused ? OpenFailure.NotListening : OpenFailure.Unreachable);
    });
  });
  signal.removeEventListener('abort', abort);
  if (failure !== undefined || stream === undefined) {
    return Err(failure ?? OpenFailure.Unreachable);
  }
  return Ok({socket, stream});
}

function createSocket(
  {address, token, self}: OpenOptions,
  limits: PeerLinkLimits,
): WebSocket | undefined {
  // The token is sent to this address, so only a plain `host:port` is accepted.
  if (!ADDRESS_PATTERN.test(address)) return undefined;
  try {
    return new WebSocket(`ws://${address}/`, {
      headers: {
        authorization: formatAuthorization(token),
        [INCARNATION_HEADER]: self,
      },
      handshakeTimeout: limits.connectMs,
      maxPayload: limits.maxMessageBytes,
      perMessageDeflate: false,
    });
  } catch {
    // The constructor throws on an invalid URL, such as a port above 65535.
    return undefined;
  }
}

function toOpenFailure(status: number | undefined): OpenFailure {
  return status === UNAUTHORIZED
    ? OpenFailure.Unauthorized
    : OpenFailure.Refused;
}
