/** Reads a request's body, bounded, as checked JSON. */
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
 * Reads the whole body; an error when it is larger than `limitBytes`. Rejects
 * when the caller leaves before its end.
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Failure>> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const leave = () => reject(new Error('the caller left'));
    request.once('close', leave);
    request.once('error', reject);
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      // What is too much is read and dropped, so that the connection can go on.
      if (size <= limitBytes) chunks.push(chunk);
      else resolve(Err(createFailure(FailureCode.BodyTooLarge, {limitBytes})));
    });
    request.once('end', () => {
      request.off('close', leave);
      resolve(Ok(Buffer.concat(chunks)));
    });
  });
}

/** Reads the body as JSON and checks it against `schema`. */
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

/** Checks one value, such as a path parameter, against `schema`. */
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
