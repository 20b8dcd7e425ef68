/** Accepts or refuses HTTP upgrade requests to the peer listener. */
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

/** Timeout for a new connection to send its request, in ms. */
const HANDSHAKE_TIMEOUT_MS = 5_000;
/** Interval between checks for handshakes past their timeout, in ms. */
const HANDSHAKE_CHECK_INTERVAL_MS = 1_000;
/** Maximum total size of a request's headers, in bytes. */
const MAX_HEADER_BYTES = 8 * 1024;
/** Maximum number of headers in a request. */
const MAX_HEADER_COUNT = 50;

/** Response to a refused upgrade: HTTP status and the failure as its body. */
export interface UpgradeRefusal {
  readonly status: string;
  readonly failure: Failure;
}

/** Creates an HTTP server for upgrades; other requests get a 404 response. */
export function createUpgradeServer(limits: PeerServerLimits): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HANDSHAKE_TIMEOUT_MS,
    requestTimeout: HANDSHAKE_TIMEOUT_MS,
    keepAliveTimeout: 1,
    connectionsCheckingInterval: HANDSHAKE_CHECK_INTERVAL_MS,
  });
  server.maxHeadersCount = MAX_HEADER_COUNT;
  // Leaves room for handshakes while the maximum of connections is open.
  server.maxConnections = limits.maxConnections * 2;
  server.on('request', (_request, response) => {
    const failure = createFailure(FailureCode.NotFound, {what: 'page'});
    response.writeHead(404, {'content-type': 'application/json'});
    response.end(JSON.stringify(failure));
  });
  return server;
}

/** Returns why to refuse an upgrade request, or undefined to accept it. */
export function findUpgradeRefusal(
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

/** Sends the response to a refused upgrade and closes the connection. */
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
