/**
 * The operators' HTTP server, with limits on connections, header size, header
 * count, and the time for headers, requests and idle connections.
 */
import {createServer, type Server} from 'node:http';
import {createOperatorsHandler, type OperatorsOptions} from './handler.js';

const MAX_CONNECTIONS = 64;
const MAX_HEADER_COUNT = 64;
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Creates the server without listening; the caller starts and closes it. */
export function createOperatorsServer(options: OperatorsOptions): Server {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    },
    createOperatorsHandler(options),
  );
  server.maxHeadersCount = MAX_HEADER_COUNT;
  server.maxConnections = MAX_CONNECTIONS;
  return server;
}
