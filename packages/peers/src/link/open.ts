/** Opens a connection to a peer's listener. */
import type {Duplex} from 'node:stream';
import {formatAuthorization} from '@goldcrestpier/http';
import {Err, Ok, type Result} from 'ts-results-es';
import {WebSocket} from 'ws';
import {INCARNATION_HEADER} from '../incarnation_header.js';
import type {PeerLinkLimits} from './limits.js';

/** `host:port`, and nothing that would lead a URL elsewhere. */
const ADDRESS_PATTERN =
  /^(?:\[[0-9a-fA-F:.]+\]|[0-9A-Za-z](?:[0-9A-Za-z.-]*)):[0-9]{1,5}$/;
/** Status of an answer to a wrong token. */
const UNAUTHORIZED = 401;

/** Why a connection could not be opened. */
export enum OpenFailure {
  /** The address is not `host:port`. */
  BadAddress = 'bad_address',
  /** The host answers that no process listens there. */
  NotListening = 'not_listening',
  /** Nothing answers there, or not as a peer does. */
  Unreachable = 'unreachable',
  /** The peer does not take this process's token. */
  Unauthorized = 'unauthorized',
  /** The peer takes no more connections. */
  Refused = 'refused',
}

/** Where to connect, and what to show there. */
export interface OpenOptions {
  /** `host:port` of the peer's listener. */
  readonly address: string;
  readonly token: string;
  /** The incarnation of this process. */
  readonly self: string;
}

/** An open connection and the stream below it. */
export interface OpenedSocket {
  readonly socket: WebSocket;
  readonly stream: Duplex;
}

/** Opens a connection to a peer, or gives up once `signal` aborts. */
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
      resolve(readRefusal(response.statusCode));
      request.destroy();
    });
    // Each error ends in a close; this keeps it from ending the process.
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
  // The token goes to whatever the address names.
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
    // The constructor throws on what it cannot read as an address.
    return undefined;
  }
}

function readRefusal(status: number | undefined): OpenFailure {
  return status === UNAUTHORIZED
    ? OpenFailure.Unauthorized
    : OpenFailure.Refused;
}
