/** Parameters that several operations share. */
import type {Parameter} from './operation.js';

/** Maximum time that a request may wait for the end of a job. */
const MAX_WAIT_MS = 60_000;

/** Path parameter that identifies a session. */
export const sessionParameter: Parameter = {
  name: 'session',
  in: 'path',
  required: true,
  description: 'The session, as its opening was answered.',
  schema: {type: 'string'},
};

/** Path parameter that identifies a job of a session. */
export const keyParameter: Parameter = {
  name: 'key',
  in: 'path',
  required: true,
  description: "The client's own name for the job within its session.",
  schema: {type: 'string', pattern: '^[A-Za-z0-9._~-]{1,128}$'},
};

/** Query parameter with the time to wait for the end of the job. */
export const waitParameter: Parameter = {
  name: 'wait',
  in: 'query',
  required: false,
  description: "How long the answer may wait for the job's end, in ms.",
  schema: {type: 'number', minimum: 0, default: 0, maximum: MAX_WAIT_MS},
};

/** Query parameter with the number of the attempt for a key. */
export const attemptParameter: Parameter = {
  name: 'attempt',
  in: 'query',
  required: false,
  description:
    'Counts the tries of this key, from 1. Only a try that was answered with "not_run" is followed by a higher one.',
  schema: {type: 'integer', minimum: 1, maximum: 1_000_000},
};

/** Header that identifies a job submitted without a session. */
export const idempotencyKeyParameter: Parameter = {
  name: 'Idempotency-Key',
  in: 'header',
  required: true,
  description: 'Names the job for this and every later submission of it.',
  schema: {type: 'string', pattern: '^[A-Za-z0-9._~-]{1,128}$'},
};

/** Creates a query parameter; it is optional by default. */
export function createQueryParameter(
  name: string,
  description: string,
  schema: Readonly<Record<string, unknown>>,
  required = false,
): Parameter {
  return {name, in: 'query', required, description, schema};
}
