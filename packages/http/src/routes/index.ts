/** Selects the route of a path by HTTP method. */
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';

/** The routes of one path, by HTTP method. */
export type RoutesByMethod<Route> = ReadonlyMap<string, Route>;

/**
 * Returns the route for `method`. The failure is `NotFound` if the path has no
 * routes (`undefined`), or `MethodNotAllowed` with the allowed methods.
 */
export function selectRoute<Route>(
  methods: RoutesByMethod<Route> | undefined,
  method: string,
): Result<Route, Failure> {
  if (methods === undefined) {
    return Err(createFailure(FailureCode.NotFound, {what: 'such path'}));
  }
  const route = methods.get(method);
  if (route !== undefined) return Ok(route);
  const allowed = [...methods.keys()];
  return Err(createFailure(FailureCode.MethodNotAllowed, {allowed}));
}
