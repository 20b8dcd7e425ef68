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

/**
 * Reads the whole body. The result is the failure `BodyTooLarge` if the body is
 * larger than `limitBytes`. Rejects if the client closes the connection before
 * the end of the body.
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Failure>> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const rejectOnClose = () =>
      reject(
        new Error(
          'the client closed the connection before the end of the request body',
        ),
      );
    request.once('close', rejectOnClose);
    request.once('error', reject);
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      // The rest of a body over the limit is read and discarded, so that the
      // connection stays usable.
      if (size <= limitBytes) chunks.push(chunk);
      else resolve(Err(createFailure(FailureCode.BodyTooLarge, {limitBytes})));
    });
    request.once('end', () => {
      request.off('close', rejectOnClose);
      resolve(Ok(Buffer.concat(chunks)));
    });
  });
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
