/** The operators' paths. */
import {selectRoute, type Methods} from '@goldcrestpier/http';
import type {Failure} from '@goldcrestpier/protocol';
import type {Result} from 'ts-results-es';

const PREFIX = '/operators/v1/';

/** Everything an operator can ask for. */
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

/** What was asked for. */
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

const FIXED_PATHS: ReadonlyMap<string, Methods<Route>> = new Map<
  string,
  Methods<Route>
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

/** Finds what a method and path ask for. */
export function matchRoute(
  method: string,
  path: string,
): Result<Route, Failure> {
  const methods = path.startsWith(PREFIX)
    ? matchPath(path.slice(PREFIX.length))
    : undefined;
  return selectRoute(methods, method);
}

function matchPath(path: string): Methods<Route> | undefined {
  const fixed = FIXED_PATHS.get(path);
  if (fixed !== undefined) return fixed;
  const [jobs, session, key, ...rest] = path.split('/');
  if (jobs !== 'jobs' || !session || !key || rest.length > 0) return undefined;
  return new Map<string, Route>([
    ['GET', {kind: RouteKind.ReadJob, session, key}],
    ['DELETE', {kind: RouteKind.CancelJob, session, key}],
  ]);
}
