import type {z} from 'zod';
import type {Problem} from './arguments.js';

const MAX_FOUND_CHARACTERS = 60;

/** Converts the issues of a zod error into problems. */
export function toProblems(error: z.ZodError, input: unknown): Problem[] {
  return error.issues.map(issue => ({
    path: issue.path.length > 0 ? issue.path.map(String).join('.') : '(body)',
    found: formatFoundValue(getValueAtPath(input, issue.path)),
    expected: issue.message,
  }));
}

function getValueAtPath(input: unknown, path: readonly PropertyKey[]): unknown {
  let value = input;
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}

function formatFoundValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (typeof value === 'object' && value !== null) return 'an object';
  const text = JSON.stringify(value) ?? typeof value;
  return text.length > MAX_FOUND_CHARACTERS
    ? `${text.slice(0, MAX_FOUND_CHARACTERS)}…`
    : text;
}
