/** Keys, values and numbers in the JSON encoding of the gateway. */
import {z} from 'zod';

/** UTF-8 text encoded as base64; the gateway omits it when empty. */
export const textSchema = z
  .string()
  .default('')
  .transform((base64, context) => {
    const bytes = Buffer.from(base64, 'base64');
    // Node.js skips invalid base64 characters, so the length reveals them.
    if (bytes.length === Buffer.byteLength(base64, 'base64')) {
      return bytes.toString('utf8');
    }
    context.addIssue({code: 'custom', message: 'expected base64'});
    return z.NEVER;
  });

/**
 * A non-negative 64-bit integer encoded as a string; the gateway omits it when
 * 0. Numbers that JavaScript cannot represent exactly are rejected.
 */
export const int64Schema = z
  .union([z.string().regex(/^[0-9]{1,16}$/), z.number()])
  .default(0)
  .transform(Number)
  .pipe(z.number().int().nonnegative());

/** The id of a lease, kept as a string as it may need all 64 bits. */
export const leaseIdSchema = z.string().regex(/^-?[0-9]{1,20}$/);

/** Schema of one key with its value at some revision. */
export const keyValueSchema = z
  .object({
    key: textSchema,
    value: textSchema,
    create_revision: int64Schema,
    mod_revision: int64Schema,
    version: int64Schema,
  })
  .transform(kv => ({
    key: kv.key,
    value: kv.value,
    createRevision: kv.create_revision,
    modRevision: kv.mod_revision,
    version: kv.version,
  }));

/** One key with its value at some revision. */
export type KeyValue = Readonly<z.infer<typeof keyValueSchema>>;

/** Encodes text as base64 of its UTF-8 bytes. */
export function encodeText(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** One key, all keys with a prefix, or the keys of a range. */
export interface KeyQuery {
  readonly key: string;
  /** Selects all keys that start with `key`. */
  readonly isPrefix?: boolean;
  /** Selects all keys from `key` up to this one, exclusive. */
  readonly before?: string;
}

/** The request fields that select one key or a range of keys. */
export interface EncodedKeys {
  readonly key: string;
  readonly range_end?: string;
}

/** Encodes the key of a query, and for a range its exclusive end. */
export function encodeKeys({key, isPrefix, before}: KeyQuery): EncodedKeys {
  if (before !== undefined) {
    return {key: encodeText(key), range_end: encodeText(before)};
  }
  if (!isPrefix) return {key: encodeText(key)};
  const rangeEnd = Buffer.from(key, 'utf8');
  const lastIndex = rangeEnd.length - 1;
  // UTF-8 has no byte 255, so incrementing the last byte cannot overflow.
  rangeEnd.writeUInt8(rangeEnd.readUInt8(lastIndex) + 1, lastIndex);
  return {key: encodeText(key), range_end: rangeEnd.toString('base64')};
}
