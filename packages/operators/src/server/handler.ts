/** Answers operators: token, path, operation, answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {isAuthorized, respondFailure, respondJson} from '@goldcrestpier/http';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import type {Logger} from '@goldcrestpier/runtime';
import {
  handleDiff,
  handleEdit,
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
const LISTENER = 'operators';

/** What the operators' listener is given. */
export interface OperatorsOptions {
  /** Shown by operators with every request. */
  readonly token: string;
  readonly settings: SettingsOperations;
  readonly fleet: FleetOperations;
  readonly logger: Logger;
}

/** Answers one request of `node:http`. */
export type OperatorsHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Creates the handler of the operators' listener. */
export function createOperatorsHandler(
  options: OperatorsOptions,
): OperatorsHandler {
  return (request, response) => {
    serve(options, request, response).catch((cause: unknown) => {
      options.logger.error('request failed unforeseen', {cause: String(cause)});
      const failure = createFailure(FailureCode.InternalFault, {
        part: LISTENER,
      });
      respondFailure(response, failure);
    });
  };
}

async function serve(
  options: OperatorsOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (!isAuthorized(request, options.token)) {
    options.logger.warn('request without the right token refused');
    const failure = createFailure(FailureCode.Unauthorized, {
      listener: LISTENER,
    });
    return refuse(request, response, failure);
  }
  const url = new URL(request.url ?? '/', 'http://operators');
  const route = matchRoute(request.method ?? 'GET', url.pathname);
  if (route.isErr()) return refuse(request, response, route.error);
  const answer = await operate(options, request, url.searchParams, route.value);
  if (answer.isErr()) return refuse(request, response, answer.error);
  const status =
    route.value.kind === RouteKind.Drain ? STATUS_ACCEPTED : STATUS_OK;
  respondJson(response, status, answer.value);
}

function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  failure: Parameters<typeof respondFailure>[1],
): void {
  // Whatever body is left unread would hold up the connection.
  request.resume();
  respondFailure(response, failure);
}

function operate(
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
      return handleEdit(settings, request);
    case RouteKind.ReadHistory:
      return handleReadHistory(settings, query);
    case RouteKind.DiffSettings:
      return handleDiff(settings, query);
    case RouteKind.ListJobs:
      return fleet.listJobs();
    case RouteKind.ReadJob:
      return fleet.readJob(route.session, route.key);
    case RouteKind.CancelJob:
      logger.info('operator cancels a job', {
        job: `${route.session}/${route.key}`,
      });
      return fleet.cancelJob(route.session, route.key);
    case RouteKind.ListInstances:
      return fleet.listInstances();
    case RouteKind.ListServers:
      return fleet.listServers();
    case RouteKind.Drain:
      logger.info('operator asks for a planned stop');
      return fleet.drain();
  }
}
