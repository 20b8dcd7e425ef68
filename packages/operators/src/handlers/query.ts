/** Parses and validates the query parameters of settings requests. */
import {checkValue} from '@goldcrestpier/http';
import type {Failure} from '@goldcrestpier/protocol';
import type {Result} from 'ts-results-es';
import {z} from 'zod';
import {nodePathSchema, revisionSchema} from '../messages/index.js';

const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 1_000;

const numberParameterSchema = z.string().transform((text, context) => {
  const value = text === '' ? Number.NaN : Number(text);
  if (!Number.isNaN(value)) return value;
  context.addIssue({code: 'custom', message: 'expected a number'});
  return z.NEVER;
});

const nodeQuerySchema = z.strictObject({node: nodePathSchema.optional()});
const historyQuerySchema = z.strictObject({
  limit: numberParameterSchema
    .pipe(
      z
        .number()
        .int('expected a whole number')
        .min(1, 'expected 1 or more')
        .max(MAX_HISTORY_LIMIT, `expected ${MAX_HISTORY_LIMIT} or less`),
    )
    .default(DEFAULT_HISTORY_LIMIT),
});
const diffQuerySchema = z.strictObject({
  from: z
    .string('expected a revision')
    .pipe(numberParameterSchema)
    .pipe(revisionSchema),
  to: numberParameterSchema.pipe(revisionSchema).optional(),
});

/** Parses `?node=`; the node is optional. */
export function parseNodeQuery(
  query: URLSearchParams,
): Result<z.infer<typeof nodeQuerySchema>, Failure> {
  return checkValue(Object.fromEntries(query), nodeQuerySchema);
}

/** Parses `?limit=`, the largest number of edits to return. */
export function parseHistoryQuery(
  query: URLSearchParams,
): Result<z.infer<typeof historyQuerySchema>, Failure> {
  return checkValue(Object.fromEntries(query), historyQuerySchema);
}

/** Parses `?from=&to=`, two revisions of which `to` is optional. */
export function parseDiffQuery(
  query: URLSearchParams,
): Result<z.infer<typeof diffQuerySchema>, Failure> {
  return checkValue(Object.fromEntries(query), diffQuerySchema);
}
