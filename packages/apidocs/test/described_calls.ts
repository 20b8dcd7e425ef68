/** Makes described calls and holds their answers against the description. */
import assert from 'node:assert/strict';
import {failureCatalogue, failureSchema} from '@goldcrestpier/protocol';
import {operations, type Listener, type Operation} from '../src/index.js';

const METHODS = ['get', 'put', 'post', 'delete', 'patch'] as const;
const FIRST_ERROR_STATUS = 400;

/** What fills in a call's path, and what goes with it. */
export interface CallParts {
  readonly session?: string;
  readonly key?: string;
  readonly query?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** The described call with this id. */
export function findOperation(id: string): Operation {
  const found = operations.find(operation => operation.id === id);
  assert.ok(found, id);
  return found;
}

/** Makes one call; fails when the answer is none of those described. */
export async function callAsDescribed(
  origin: string,
  id: string,
  parts: CallParts = {},
): Promise<{status: number; body: unknown}> {
  const operation = findOperation(id);
  const response = await fetch(createUrl(origin, operation.path, parts), {
    method: operation.method.toUpperCase(),
    headers: {...parts.headers},
    body: parts.body === undefined ? undefined : JSON.stringify(parts.body),
  });
  const text = await response.text();
  const {status} = response;
  const answered = operation.answers.some(answer => answer.status === status);
  if (answered) return {status, body: parseJson(text)};
  assert.ok(status >= FIRST_ERROR_STATUS, `${id}: ${status}`);
  const failure = failureSchema.parse(JSON.parse(text));
  assert.ok(operation.failures.includes(failure.code), `${id}: ${text}`);
  assert.equal(failureCatalogue[failure.code].status, status);
  return {status, body: failure};
}

/** Fails when a path takes other methods than those described. */
export async function checkMethods(
  origin: string,
  listener: Listener,
  headers: Readonly<Record<string, string>> = {},
): Promise<void> {
  const described = operations.filter(each => each.listener === listener);
  for (const path of new Set(described.map(each => each.path))) {
    const allowed = described
      .filter(each => each.path === path)
      .map(each => each.method);
    for (const method of METHODS) {
      if (allowed.some(each => each === method)) continue;
      const response = await fetch(createUrl(origin, path, {}), {
        method: method.toUpperCase(),
        headers: {...headers},
      });
      await response.arrayBuffer();
      assert.equal(response.status, 405, `${method} ${path}`);
    }
  }
}

function createUrl(origin: string, path: string, parts: CallParts): string {
  const filled = path
    .replace('{session}', parts.session ?? 'a.b.c.1')
    .replace('{key}', parts.key ?? 'k');
  return `${origin}${filled}${parts.query ?? ''}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
