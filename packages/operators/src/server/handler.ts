/**
 * HTTP request handler of the operators' listener: checks the token, matches
 * the route, runs the operation and sends its result as JSON.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {isAuthorized, respondFailure, respondJson} from '@goldcrestpier/http';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import type {Logger} from '@goldcrestpier/runtime';
import {
  handleDiffSettings,
  handleEditSettings,
  handleReadEffective,
  handleReadHistory,
  handleReadSettings,
} from '../handlers/settings.js';
import type {
  FleetOperations,
  OperationResult,
  SettingsOperations,
} from '../operations/index.js';
import {matchRoute, RouteKind, type Route} from '../routes/index.js';

const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;
const LISTENER_NAME = 'operators';

/** Dependencies of the operators' listener. */
export interface OperatorsOptions {
  /** Bearer token that every request must carry. */
  readonly token: string;
  readonly settings: SettingsOperations;
  readonly fleet: FleetOperations;
  readonly logger: Logger;
}

/** Request listener for a `node:http` server. */
export type OperatorsHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/**
 * Creates the request handler of the operators' listener. An unexpected error
 * is logged and answered with an `internal_fault` failure.
 */
export function createOperatorsHandler(
  options: OperatorsOptions,
): OperatorsHandler {
  return (request, response) => {
    handleRequest(options, request, response).catch((cause: unknown) => {
      options.logger.error('request failed with an unexpected error', {
        cause: String(cause),
      });
      const failure = createFailure(FailureCode.InternalFault, {
        part: LISTENER_NAME,
      });
      respondFailure(response, failure);
    });
  };
}

async function handleRequest(
  options: OperatorsOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (!isAuthorized(request, options.token)) {
    options.logger.warn('request rejected: missing or invalid token');
    const failure = createFailure(FailureCode.Unauthorized, {
      listener: LISTENER_NAME,
    });
    return sendFailure(request, response, failure);
  }
  const url = new URL(request.url ?? '/', 'http://operators');
  const route = matchRoute(request.method ?? 'GET', url.pathname);
  if (route.isErr()) return sendFailure(request, response, route.error);
  const result = await runOperation(
    options,
    request,
    url.searchParams,
    route.value,
  );
  if (result.isErr()) return sendFailure(request, response, result.error);
  const status =
    route.value.kind === RouteKind.Drain ? STATUS_ACCEPTED : STATUS_OK;
  respondJson(response, status, result.value);
}

function sendFailure(
  request: IncomingMessage,
  response: ServerResponse,
  failure: Parameters<typeof respondFailure>[1],
): void {
  // Discards the rest of the body, which would block the connection if unread.
  request.resume();
  respondFailure(response, failure);
}

function runOperation(
  {settings, fleet, logger}: OperatorsOptions,
  request: IncomingMessage,
  query: URLSearchParams,
  route: Route,
): OperationResult<unknown> {
  switch (route.kind) {
    case RouteKind.ReadSettings:
      return handleReadSettings(settings, query);
    case RouteKind.ReadEffective:
      return handleReadEffective(settings, query);
    case RouteKind.EditSettings:
      return handleEditSettings(settings, request);
    case RouteKind.ReadHistory:
      return handleReadHistory(settings, query);
    case RouteKind.DiffSettings:
      return handleDiffSettings(settings, query);
    case RouteKind.ListJobs:
      return fleet.listJobs();
    case RouteKind.ReadJob:
      return fleet.readJob(route.session, route.key);
    case RouteKind.CancelJob:
      logger.info('operator requested cancellation of a job', {
        job: `${route.session}/${route.key}`,
      });
      return fleet.cancelJob(route.session, route.key);
    case RouteKind.ListInstances:
      return fleet.listInstances();
    case RouteKind.ListServers:
      return fleet.listServers();
    case RouteKind.Drain:
      logger.info('operator requested a planned stop');
      return fleet.drain();
  }
}
