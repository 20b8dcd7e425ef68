/**
 * The requests that the stand-in understands, in the published JSON form of
 * the etcd v3 gateway: bytes as base64, 64-bit numbers as strings.
 */
import {z} from 'zod';

/** Bytes in base64, kept as one character a byte so that they sort. */
const bytes = z
  .string()
  .default('')
  .transform(text => Buffer.from(text, 'base64').toString('latin1'));
const int64 = z
  .union([z.string().regex(/^-?[0-9]+$/), z.number().int()])
  .default('0')
  .transform(Number);

/** Reads one key, or all from `key` up to `range_end`. */
export const rangeRequestSchema = z.object({
  key: bytes,
  range_end: bytes,
  limit: int64,
  keys_only: z.boolean().default(false),
  count_only: z.boolean().default(false),
});

/** Writes one key. */
export const putRequestSchema = z.object({
  key: bytes,
  value: bytes,
  lease: int64,
  prev_kv: z.boolean().default(false),
});

/** Deletes one key, or all from `key` up to `range_end`. */
export const deleteRequestSchema = z.object({
  key: bytes,
  range_end: bytes,
  prev_kv: z.boolean().default(false),
});

/** What a comparison looks at. */
export enum CompareTarget {
  Version = 'VERSION',
  Create = 'CREATE',
  Mod = 'MOD',
  Value = 'VALUE',
}

/** How a comparison compares. */
export enum CompareResult {
  Equal = 'EQUAL',
  Greater = 'GREATER',
  Less = 'LESS',
  NotEqual = 'NOT_EQUAL',
}

/** One comparison of a transaction. */
export const compareSchema = z.object({
  key: bytes,
  target: z.enum(CompareTarget).default(CompareTarget.Version),
  result: z.enum(CompareResult).default(CompareResult.Equal),
  version: int64,
  create_revision: int64,
  mod_revision: int64,
  value: bytes,
});

/** Comparisons, and what is done when all hold or when one does not. */
export const txnRequestSchema = z.object({
  compare: z.array(compareSchema).default([]),
  get success() {
    return z.array(operationSchema).default([]);
  },
  get failure() {
    return z.array(operationSchema).default([]);
  },
});

/** One step of a transaction; one of the fields is there. */
export const operationSchema = z.object({
  request_range: rangeRequestSchema.optional(),
  request_put: putRequestSchema.optional(),
  request_delete_range: deleteRequestSchema.optional(),
  get request_txn() {
    return txnRequestSchema.optional();
  },
});

/** Makes a lease of `TTL` seconds. */
export const leaseGrantSchema = z.object({TTL: int64, ID: int64});

/** Names a lease to renew or to revoke. */
export const leaseSchema = z.object({ID: int64});

/** Forgets the history up to `revision`. */
export const compactionSchema = z.object({revision: int64});

/** Opens a watch. */
export const watchRequestSchema = z.object({
  create_request: z.object({
    key: bytes,
    range_end: bytes,
    start_revision: int64,
    prev_kv: z.boolean().default(false),
  }),
});

/** Reads one key, or all from `key` up to `range_end`. */
export type RangeRequest = z.infer<typeof rangeRequestSchema>;
/** Writes one key. */
export type PutRequest = z.infer<typeof putRequestSchema>;
/** Deletes one key or a range. */
export type DeleteRequest = z.infer<typeof deleteRequestSchema>;
/** One comparison of a transaction. */
export type Comparison = z.infer<typeof compareSchema>;
/** A transaction. */
export type TxnRequest = z.infer<typeof txnRequestSchema>;
/** One step of a transaction. */
export type Operation = z.infer<typeof operationSchema>;
/** Opens a watch. */
export type WatchRequest = z.infer<typeof watchRequestSchema>['create_request'];
