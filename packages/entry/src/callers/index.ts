/**
 * The callers' HTTP server. Limits the number of connections, the size of
 * headers and bodies, and the time that a request may take.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {respondFailure, respondJson} from '@goldcrestpier/http';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import {readClock, type Logger, type Millis} from '@goldcrestpier/runtime';
import type {Gateway} from '../gateway/gateway.js';
import type {Readiness} from '../start/readiness.js';
import {
  handleCancel,
  handleEndSession,
  handleOpenSession,
  handleRead,
  handleSubmit,
  handleSubmitWithoutSession,
  type Exchange,
} from './handlers.js';
import {matchRoute, RouteKind, type Route} from './routes.js';

const MAX_HEADERS = 64;
const MAX_HEADER_BYTES = 16 * 1024;
const REQUEST_TIMEOUT_MS = 30_000;
const HEADERS_TIMEOUT_MS = 10_000;
/** Longer than the longest wait; closes connections whose client stalled. */
const SOCKET_INACTIVITY_TIMEOUT_MS = 120_000;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Configuration and dependencies of the callers' server. */
export interface CallersOptions {
  readonly gateway: Gateway;
  readonly limits: {
    readonly maxBodyBytes: number;
    readonly maxConnections: number;
    readonly idleMs: Millis;
  };
  readonly readiness: Readiness;
  /** Returns the metrics in the text format of Prometheus. */
  readonly readMetrics: () => Promise<string>;
  /** A lower bound for the arrival time of data that is read at `now`. */
  readonly arrivalTime: (now: Millis) => Millis;
  readonly countRequest: (route: RouteKind, status: number) => void;
  readonly logger: Logger;
}

/** Creates the callers' server; it does not listen yet. */
export function createCallersServer(options: CallersOptions): Server {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: options.limits.idleMs,
    },
    (request, response) => {
      handleRequest(options, request, response).catch((cause: unknown) => {
        // The caller closed the connection before the end of the request body,
        // so there is no one to respond to.
        if (request.destroyed && !request.complete) return;
        options.logger.error('request failed with an unexpected error', {
          cause: String(cause),
        });
        const failure = createFailure(FailureCode.InternalFault, {
          part: 'callers',
        });
        respondFailure(response, failure);
      });
    },
  );
  server.timeout = SOCKET_INACTIVITY_TIMEOUT_MS;
  server.maxHeadersCount = MAX_HEADERS;
  server.maxConnections = options.limits.maxConnections;
  return server;
}

async function handleRequest(
  options: CallersOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const now = readClock();
  const url = new URL(request.url ?? '/', 'http://callers');
  const route = matchRoute(request.method ?? 'GET', url.pathname);
  if (route.isErr()) {
    request.resume();
    return respondFailure(response, route.error);
  }
  const {kind} = route.value;
  const endRequest = options.readiness.beginRequest();
  response.once('close', () => {
    endRequest();
    options.countRequest(kind, response.statusCode);
  });
  const exchange: Exchange = {
    request,
    response,
    query: url.searchParams,
    gateway: options.gateway,
    maxBodyBytes: options.limits.maxBodyBytes,
    arrivalTime: options.arrivalTime,
    signal: createCloseSignal(response),
  };
  await handleRoute(options, exchange, route.value, now);
}

async function handleRoute(
  options: CallersOptions,
  exchange: Exchange,
  route: Route,
  now: Millis,
): Promise<void> {
  switch (route.kind) {
    case RouteKind.OpenSession:
      exchange.request.resume();
      return handleOpenSession(exchange, now);
    case RouteKind.EndSession:
      return handleEndSession(exchange, route.session);
    case RouteKind.Submit:
      return handleSubmit(exchange, route.session, route.key);
    case RouteKind.Read:
      return handleRead(exchange, route.session, route.key);
    case RouteKind.Cancel:
      return handleCancel(exchange, route.session, route.key);
    case RouteKind.SubmitWithoutSession:
      return handleSubmitWithoutSession(exchange);
    case RouteKind.Health:
      return respondJson(exchange.response, STATUS_OK, {healthy: true});
    case RouteKind.Ready:
      return respondReadiness(exchange.response, options.readiness.isReady);
    case RouteKind.Metrics:
      exchange.response.setHeader('content-type', 'text/plain; version=0.0.4');
      exchange.response.end(await options.readMetrics());
  }
}

function respondReadiness(response: ServerResponse, isReady: boolean): void {
  respondJson(response, isReady ? STATUS_OK : STATUS_UNAVAILABLE, {
    ready: isReady,
  });
}

function createCloseSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => controller.abort());
  return controller.signal;
}
