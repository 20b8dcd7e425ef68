/** The operators' HTTP server, bounded in every direction. */
import {createServer, type Server} from 'node:http';
import {createOperatorsHandler, type OperatorsOptions} from './handler.js';

const MAX_CONNECTIONS = 64;
const MAX_HEADERS = 64;
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const IDLE_MS = 30_000;

/** Creates the server; the life cycle that asked for it listens. */
export function createOperatorsServer(options: OperatorsOptions): Server {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: IDLE_MS,
    },
    createOperatorsHandler(options),
  );
  server.maxHeadersCount = MAX_HEADERS;
  server.maxConnections = MAX_CONNECTIONS;
  return server;
}
