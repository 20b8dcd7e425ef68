/** Reads request bodies up to a size limit and validates them as JSON. */
import type {IncomingMessage} from 'node:http';
import {
  createFailure,
  FailureCode,
  toProblems,
  type Failure,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import type {z} from 'zod';
import {collectBody} from './collect_body.js';

export {
  BodyRefusal,
  collectBody,
  type BodyLimits,
  type CollectedBody,
} from './collect_body.js';

/**
 * Reads the whole body. The result is the failure `BodyTooLarge` if the body is
 * larger than `limitBytes`. Rejects if the client closes the connection before
 * the end of the body.
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Failure>> {
  const body = await collectBody(request, {limitBytes});
  if (body.kind === 'complete') return Ok(body.bytes);
  return Err(createFailure(FailureCode.BodyTooLarge, {limitBytes}));
}

/** Reads the body as JSON and validates it with `schema`. */
export async function readJson<Schema extends z.ZodType>(
  request: IncomingMessage,
  schema: Schema,
  limitBytes: number,
): Promise<Result<z.infer<Schema>, Failure>> {
  const body = await readBody(request, limitBytes);
  if (body.isErr()) return body;
  const json = parseJson(body.value);
  if (json.isErr()) return json;
  return checkValue(json.value, schema);
}

/** Validates a value, such as a path parameter, with `schema`. */
export function checkValue<Schema extends z.ZodType>(
  value: unknown,
  schema: Schema,
): Result<z.infer<Schema>, Failure> {
  const checked = schema.safeParse(value);
  if (checked.success) return Ok(checked.data);
  const problems = toProblems(checked.error, value);
  return Err(createFailure(FailureCode.InvalidRequest, {problems}));
}

function parseJson(body: Buffer): Result<unknown, Failure> {
  try {
    return Ok(JSON.parse(body.toString('utf8')) as unknown);
  } catch (cause) {
    const reason = cause instanceof SyntaxError ? 'a syntax error' : 'unread';
    return Err(createFailure(FailureCode.InvalidJson, {reason}));
  }
}
