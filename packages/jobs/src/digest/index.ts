/** Content digests for detecting whether two submissions are the same. */
import {createHash} from 'node:crypto';
import type {SubmittedJob} from '@goldcrestpier/protocol';

/** SHA-256 of the job's JSON with sorted keys, encoded as base64url. */
export function digestJob(job: SubmittedJob): string {
  return createHash('sha256').update(toCanonicalJson(job)).digest('base64url');
}

function toCanonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => sortKeys(inner));
}

function sortKeys(value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value);
  return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
}
