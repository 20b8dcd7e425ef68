/** Decides which connections become peers' connections. */
import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {isAuthorized} from '@goldcrestpier/http';
import {createServer} from 'node:http';
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import type {PeerServerLimits} from './limits.js';

/** How long a new connection may take to send its request, in ms. */
const HANDSHAKE_MS = 5_000;
/** How often slow handshakes are looked for, in ms. */
const CHECK_MS = 1_000;
/** Size of all headers of a request, in bytes. */
const MAX_HEADER_BYTES = 8 * 1024;
/** Headers of a request. */
const MAX_HEADERS = 50;

/** Why an upgrade was refused: the status line and the typed body. */
export interface UpgradeRefusal {
  readonly status: string;
  readonly failure: Failure;
}

/** An HTTP server that answers nothing but upgrades. */
export function createUpgradeServer(limits: PeerServerLimits): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HANDSHAKE_MS,
    requestTimeout: HANDSHAKE_MS,
    keepAliveTimeout: 1,
    connectionsCheckingInterval: CHECK_MS,
  });
  server.maxHeadersCount = MAX_HEADERS;
  // Some connections may be in their handshake while all others are taken.
  server.maxConnections = limits.maxConnections * 2;
  server.on('request', (_request, response) => {
    const failure = createFailure(FailureCode.NotFound, {what: 'page'});
    response.writeHead(404, {'content-type': 'application/json'});
    response.end(JSON.stringify(failure));
  });
  return server;
}

/** Says why a request may not become a connection; undefined when it may. */
export function refuseUpgrade(
  request: IncomingMessage,
  token: string,
  connections: number,
  limits: PeerServerLimits,
): UpgradeRefusal | undefined {
  if (!isAuthorized(request, token)) {
    return {
      status: '401 Unauthorized',
      failure: createFailure(FailureCode.Unauthorized, {listener: 'peers'}),
    };
  }
  if (connections >= limits.maxConnections) {
    const args = {waiting: connections, limit: limits.maxConnections};
    return {
      status: '503 Service Unavailable',
      failure: createFailure(FailureCode.QueueFull, args),
    };
  }
  return undefined;
}

/** Answers a refused upgrade and closes its connection. */
export function sendRefusal(socket: Duplex, refusal: UpgradeRefusal): void {
  const body = JSON.stringify(refusal.failure);
  const lines = [
    `HTTP/1.1 ${refusal.status}`,
    'Connection: close',
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ];
  socket.end(lines.join('\r\n'));
}
