/** Turns down jobs for services that nobody knows. */
import {
  createFailure,
  FailureCode,
  type Failure,
  type SubmittedJob,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Platform} from './platform.js';

const LIST_RETRY_MS = 1_000;

/** Checks a job's services against the settings and the instance list. */
export function checkServices(
  {list, follower}: Platform,
  job: SubmittedJob,
  now: Millis,
): Result<void, Failure> {
  const known = new Set(follower.current.listServices());
  for (const {pool} of list.current.servers) known.add(toService(pool));
  const services = new Set(job.tasks.flatMap(({service}) => service ?? []));
  for (const service of services) {
    if (known.has(service)) continue;
    return Err(describeUnknown(service, list.readAge(now) !== undefined));
  }
  return Ok(undefined);
}

/** Before the first list was read, an unknown service may yet turn up. */
function describeUnknown(service: string, isListRead: boolean): Failure {
  if (isListRead) return createFailure(FailureCode.UnknownService, {service});
  return createFailure(
    FailureCode.BackendUnavailable,
    {pool: `runner/${service}`},
    {retryAfterMs: LIST_RETRY_MS},
  );
}

function toService(pool: string): string {
  return pool.slice(pool.indexOf('/') + 1);
}
