/** Routes of the operators' API. */
import {selectRoute, type RoutesByMethod} from '@goldcrestpier/http';
import type {Failure} from '@goldcrestpier/protocol';
import type {Result} from 'ts-results-es';

const PATH_PREFIX = '/operators/v1/';

/** Operations that an operator can request. */
export enum RouteKind {
  ReadSettings = 'read_settings',
  ReadEffective = 'read_effective',
  EditSettings = 'edit_settings',
  ReadHistory = 'read_history',
  DiffSettings = 'diff_settings',
  ListJobs = 'list_jobs',
  ReadJob = 'read_job',
  CancelJob = 'cancel_job',
  ListInstances = 'list_instances',
  ListServers = 'list_servers',
  Drain = 'drain',
}

/** A matched route, with the session and key of the job that it names. */
export type Route =
  | {
      readonly kind: Exclude<
        RouteKind,
        RouteKind.ReadJob | RouteKind.CancelJob
      >;
    }
  | {
      readonly kind: RouteKind.ReadJob | RouteKind.CancelJob;
      readonly session: string;
      readonly key: string;
    };

const FIXED_ROUTES: ReadonlyMap<string, RoutesByMethod<Route>> = new Map<
  string,
  RoutesByMethod<Route>
>([
  ['settings', new Map([['GET', {kind: RouteKind.ReadSettings}]])],
  ['settings/effective', new Map([['GET', {kind: RouteKind.ReadEffective}]])],
  ['settings/edits', new Map([['POST', {kind: RouteKind.EditSettings}]])],
  ['settings/history', new Map([['GET', {kind: RouteKind.ReadHistory}]])],
  ['settings/diff', new Map([['GET', {kind: RouteKind.DiffSettings}]])],
  ['jobs', new Map([['GET', {kind: RouteKind.ListJobs}]])],
  ['instances', new Map([['GET', {kind: RouteKind.ListInstances}]])],
  ['servers', new Map([['GET', {kind: RouteKind.ListServers}]])],
  ['drain', new Map([['POST', {kind: RouteKind.Drain}]])],
]);

/**
 * Finds the route of a method and path. Fails when there is no such path, or
 * when the path does not allow the method.
 */
export function matchRoute(
  method: string,
  path: string,
): Result<Route, Failure> {
  const methods = path.startsWith(PATH_PREFIX)
    ? matchPath(path.slice(PATH_PREFIX.length))
    : undefined;
  return selectRoute(methods, method);
}

function matchPath(path: string): RoutesByMethod<Route> | undefined {
  const fixed = FIXED_ROUTES.get(path);
  if (fixed !== undefined) return fixed;
  const [jobs, session, key, ...rest] = path.split('/');
  if (jobs !== 'jobs' || !session || !key || rest.length > 0) return undefined;
  return new Map<string, Route>([
    ['GET', {kind: RouteKind.ReadJob, session, key}],
    ['DELETE', {kind: RouteKind.CancelJob, session, key}],
  ]);
}
