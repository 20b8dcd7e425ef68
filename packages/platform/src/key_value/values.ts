/** Keys, values and numbers as the gateway's JSON form writes them. */
import {z} from 'zod';

/** Bytes in base64, read as UTF-8 text; absent when empty. */
export const textSchema = z
  .string()
  .default('')
  .transform((base64, context) => {
    const bytes = Buffer.from(base64, 'base64');
    // Node skips what is not base64, which shows in the length.
    if (bytes.length === Buffer.byteLength(base64, 'base64')) {
      return bytes.toString('utf8');
    }
    context.addIssue({code: 'custom', message: 'expected base64'});
    return z.NEVER;
  });

/** A 64-bit number written as a string; absent when 0. */
export const int64Schema = z
  .union([z.string().regex(/^[0-9]{1,16}$/), z.number()])
  .default(0)
  .transform(Number)
  .pipe(z.number().int().nonnegative());

/** The number of a lease, which may need all 64 bits. */
export const leaseIdSchema = z.string().regex(/^-?[0-9]{1,20}$/);

/** One key with its value, as it stands at some revision. */
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

/** One key with its value, as it stands at some revision. */
export type KeyValue = Readonly<z.infer<typeof keyValueSchema>>;

/** Writes text as base64. */
export function encodeText(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** One key, every key that begins with it, or those up to another. */
export interface KeyQuery {
  readonly key: string;
  readonly isPrefix?: boolean;
  /** All keys from `key` up to this one, which is left out. */
  readonly before?: string;
}

/** The fields that name one key or a range of them. */
export interface KeyFields {
  readonly key: string;
  readonly range_end?: string;
}

/** Writes a query's key, and for more than one the first key past them. */
export function encodeKeys({key, isPrefix, before}: KeyQuery): KeyFields {
  if (before !== undefined) {
    return {key: encodeText(key), range_end: encodeText(before)};
  }
  if (!isPrefix) return {key: encodeText(key)};
  const end = Buffer.from(key, 'utf8');
  const last = end.length - 1;
  // No byte of UTF-8 is 255, so adding one never runs over.
  end.writeUInt8(end.readUInt8(last) + 1, last);
  return {key: encodeText(key), range_end: end.toString('base64')};
}
