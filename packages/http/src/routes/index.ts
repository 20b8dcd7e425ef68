/** Chooses what a path offers for a method. */
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';

/** What a path offers, by method. */
export type Methods<Route> = ReadonlyMap<string, Route>;

/** The route for `method`; a failure names the methods that are allowed. */
export function selectRoute<Route>(
  methods: Methods<Route> | undefined,
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
