/** Routes of the callers' listener. */
import {selectRoute, type RoutesByMethod} from '@goldcrestpier/http';
import type {Failure} from '@goldcrestpier/protocol';
import type {Result} from 'ts-results-es';

/** Requests of callers and the balancer. The values are labels of metrics. */
export enum RouteKind {
  OpenSession = 'open_session',
  EndSession = 'end_session',
  Submit = 'submit',
  Read = 'read',
  Cancel = 'cancel',
  SubmitWithoutSession = 'submit_plain',
  Health = 'health',
  Ready = 'ready',
  Metrics = 'metrics',
}

/** A matched route with the parameters of its path. */
export type Route =
  | {
      readonly kind:
        | RouteKind.OpenSession
        | RouteKind.SubmitWithoutSession
        | RouteKind.Health
        | RouteKind.Ready
        | RouteKind.Metrics;
    }
  | {readonly kind: RouteKind.EndSession; readonly session: string}
  | {
      readonly kind: RouteKind.Submit | RouteKind.Read | RouteKind.Cancel;
      readonly session: string;
      readonly key: string;
    };

/** Matches a method and path; fails with `NotFound` or `MethodNotAllowed`. */
export function matchRoute(
  method: string,
  path: string,
): Result<Route, Failure> {
  const methods = matchPath(path);
  return selectRoute(methods, method);
}

function matchPath(path: string): RoutesByMethod<Route> | undefined {
  const fixed = FIXED_PATHS.get(path);
  if (fixed !== undefined) return fixed;
  const [, version, sessions, session, jobs, key, ...rest] = path.split('/');
  if (version !== 'v1' || sessions !== 'sessions') return undefined;
  if (session === undefined || session === '' || rest.length > 0) {
    return undefined;
  }
  if (jobs === undefined) {
    return new Map([['DELETE', {kind: RouteKind.EndSession, session}]]);
  }
  if (jobs !== 'jobs' || key === undefined || key === '') return undefined;
  return new Map<string, Route>([
    ['PUT', {kind: RouteKind.Submit, session, key}],
    ['GET', {kind: RouteKind.Read, session, key}],
    ['DELETE', {kind: RouteKind.Cancel, session, key}],
  ]);
}

const FIXED_PATHS = new Map<string, RoutesByMethod<Route>>([
  ['/v1/sessions', new Map([['POST', {kind: RouteKind.OpenSession}]])],
  ['/v1/jobs', new Map([['POST', {kind: RouteKind.SubmitWithoutSession}]])],
  ['/healthz', new Map([['GET', {kind: RouteKind.Health}]])],
  ['/readyz', new Map([['GET', {kind: RouteKind.Ready}]])],
  ['/metrics', new Map([['GET', {kind: RouteKind.Metrics}]])],
]);
