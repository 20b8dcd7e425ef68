/** Why a recall of a delegated task was not accepted. */
import type {Result} from 'ts-results-es';
import type {ZoneCallFailure} from '../protocol/index.js';

/** Names the reason; `result` is undefined if the zone is unreachable. */
export function nameRecallFailure(
  result: Result<boolean, ZoneCallFailure> | undefined,
): string {
  if (result === undefined) return 'unreachable';
  return result.isErr() ? result.error.kind : 'not_holder';
}
