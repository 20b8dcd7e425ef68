/** Rejects jobs that request unknown services. */
import {
  createFailure,
  FailureCode,
  type Failure,
  type SubmittedJob,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Platform} from './platform.js';

const INSTANCE_LIST_RETRY_MS = 1_000;

/**
 * Checks that each service of a job is in the settings or served by a backend
 * server of the instance list.
 */
export function checkServices(
  {instanceList, settingsFollower}: Platform,
  job: SubmittedJob,
  now: Millis,
): Result<void, Failure> {
  const knownServices = new Set(settingsFollower.current.listServices());
  for (const {pool} of instanceList.current.servers)
    knownServices.add(getServiceName(pool));
  const services = new Set(job.tasks.flatMap(({service}) => service ?? []));
  for (const service of services) {
    if (knownServices.has(service)) continue;
    return Err(
      createUnknownServiceFailure(
        service,
        instanceList.readAge(now) !== undefined,
      ),
    );
  }
  return Ok(undefined);
}

/**
 * Until the instance list has been read for the first time, the service may
 * still be found in it, so the caller is asked to retry.
 */
function createUnknownServiceFailure(
  service: string,
  hasList: boolean,
): Failure {
  if (hasList) return createFailure(FailureCode.UnknownService, {service});
  return createFailure(
    FailureCode.BackendUnavailable,
    {pool: `runner/${service}`},
    {retryAfterMs: INSTANCE_LIST_RETRY_MS},
  );
}

function getServiceName(pool: string): string {
  return pool.slice(pool.indexOf('/') + 1);
}
