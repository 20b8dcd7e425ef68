/** Checks of what operators put into a path's query. */
import {checkValue} from '@goldcrestpier/http';
import type {Failure} from '@goldcrestpier/protocol';
import type {Result} from 'ts-results-es';
import {z} from 'zod';
import {nodePathSchema, revisionSchema} from '../messages/index.js';

const DEFAULT_HISTORY = 20;
const MAX_HISTORY = 1_000;

const number = z.string().transform((text, context) => {
  const value = text === '' ? Number.NaN : Number(text);
  if (!Number.isNaN(value)) return value;
  context.addIssue({code: 'custom', message: 'expected a number'});
  return z.NEVER;
});

const nodeQuery = z.strictObject({node: nodePathSchema.optional()});
const historyQuery = z.strictObject({
  limit: number
    .pipe(
      z
        .number()
        .int('expected a whole number')
        .min(1, 'expected 1 or more')
        .max(MAX_HISTORY, `expected ${MAX_HISTORY} or less`),
    )
    .default(DEFAULT_HISTORY),
});
const diffQuery = z.strictObject({
  from: z.string('expected a revision').pipe(number).pipe(revisionSchema),
  to: number.pipe(revisionSchema).optional(),
});

/** Reads `?node=`. */
export function readNodeQuery(
  query: URLSearchParams,
): Result<z.infer<typeof nodeQuery>, Failure> {
  return checkValue(Object.fromEntries(query), nodeQuery);
}

/** Reads `?limit=`. */
export function readHistoryQuery(
  query: URLSearchParams,
): Result<z.infer<typeof historyQuery>, Failure> {
  return checkValue(Object.fromEntries(query), historyQuery);
}

/** Reads `?from=&to=`. */
export function readDiffQuery(
  query: URLSearchParams,
): Result<z.infer<typeof diffQuery>, Failure> {
  return checkValue(Object.fromEntries(query), diffQuery);
}
