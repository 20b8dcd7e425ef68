/**
 * Schemas of the supported requests, in the JSON format of the etcd v3 gateway:
 * bytes as base64, 64-bit numbers as strings.
 */
import {z} from 'zod';

/** Bytes in base64; decoded to one character per byte to sort by bytes. */
const bytes = z
  .string()
  .default('')
  .transform(text => Buffer.from(text, 'base64').toString('latin1'));
const int64 = z
  .union([z.string().regex(/^-?[0-9]+$/), z.number().int()])
  .default('0')
  .transform(Number);

/** Reads one key, or the range from `key` to `range_end` (exclusive). */
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

/** Deletes one key, or the range from `key` to `range_end` (exclusive). */
export const deleteRequestSchema = z.object({
  key: bytes,
  range_end: bytes,
  prev_kv: z.boolean().default(false),
});

/** Property of a key that a comparison examines. */
export enum CompareTarget {
  Version = 'VERSION',
  Create = 'CREATE',
  Mod = 'MOD',
  Value = 'VALUE',
}

/** Operator of a comparison. */
export enum CompareResult {
  Equal = 'EQUAL',
  Greater = 'GREATER',
  Less = 'LESS',
  NotEqual = 'NOT_EQUAL',
}

/** Comparison of a transaction. */
export const compareSchema = z.object({
  key: bytes,
  target: z.enum(CompareTarget).default(CompareTarget.Version),
  result: z.enum(CompareResult).default(CompareResult.Equal),
  version: int64,
  create_revision: int64,
  mod_revision: int64,
  value: bytes,
});

/** Runs `success` if all comparisons are true, otherwise `failure`. */
export const txnRequestSchema = z.object({
  compare: z.array(compareSchema).default([]),
  get success() {
    return z.array(operationSchema).default([]);
  },
  get failure() {
    return z.array(operationSchema).default([]);
  },
});

/** Operation of a transaction; exactly one of the fields is set. */
export const operationSchema = z.object({
  request_range: rangeRequestSchema.optional(),
  request_put: putRequestSchema.optional(),
  request_delete_range: deleteRequestSchema.optional(),
  get request_txn() {
    return txnRequestSchema.optional();
  },
});

/** Grants a lease of `TTL` seconds. */
export const leaseGrantSchema = z.object({TTL: int64, ID: int64});

/** Renews or revokes a lease. */
export const leaseSchema = z.object({ID: int64});

/** Deletes the history up to and including `revision`. */
export const compactionSchema = z.object({revision: int64});

/** Starts a watch. */
export const watchRequestSchema = z.object({
  create_request: z.object({
    key: bytes,
    range_end: bytes,
    start_revision: int64,
    prev_kv: z.boolean().default(false),
  }),
});

/** Reads one key or a range. */
export type RangeRequest = z.infer<typeof rangeRequestSchema>;
/** Writes one key. */
export type PutRequest = z.infer<typeof putRequestSchema>;
/** Deletes one key or a range. */
export type DeleteRequest = z.infer<typeof deleteRequestSchema>;
/** Comparison of a transaction. */
export type Comparison = z.infer<typeof compareSchema>;
/** A transaction. */
export type TxnRequest = z.infer<typeof txnRequestSchema>;
/** Operation of a transaction. */
export type Operation = z.infer<typeof operationSchema>;
/** Starts a watch. */
export type WatchRequest = z.infer<typeof watchRequestSchema>['create_request'];
