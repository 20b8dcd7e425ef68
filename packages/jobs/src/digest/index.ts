/** Tells whether two submissions have the same content. */
import {createHash} from 'node:crypto';
import type {SubmittedJob} from '@goldcrestpier/protocol';

/** A digest that does not depend on the order of an object's fields. */
export function digestJob(job: SubmittedJob): string {
  return createHash('sha256').update(toCanonicalJson(job)).digest('base64url');
}

function toCanonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => sortFields(inner));
}

function sortFields(value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value);
  return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
}
