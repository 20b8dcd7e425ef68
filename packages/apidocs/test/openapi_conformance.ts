/** Calls operations and checks their responses against the OpenAPI document. */
import assert from 'node:assert/strict';
import {failureCatalogue, failureSchema} from '@goldcrestpier/protocol';
import {operations, type Listener, type Operation} from '../src/index.js';

const METHODS = ['get', 'put', 'post', 'delete', 'patch'] as const;
const FIRST_ERROR_STATUS = 400;

/** Path parameters, query, body and headers of a request. */
export interface RequestParts {
  readonly session?: string;
  readonly key?: string;
  readonly query?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Finds an operation by its id. */
export function findOperation(id: string): Operation {
  const found = operations.find(operation => operation.id === id);
  assert.ok(found, id);
  return found;
}

/** Calls an operation; fails if its response is not a described one. */
export async function callAndValidate(
  origin: string,
  id: string,
  parts: RequestParts = {},
): Promise<{status: number; body: unknown}> {
  const operation = findOperation(id);
  const response = await fetch(createUrl(origin, operation.path, parts), {
    method: operation.method.toUpperCase(),
    headers: {...parts.headers},
    body: parts.body === undefined ? undefined : JSON.stringify(parts.body),
  });
  const text = await response.text();
  const {status} = response;
  const isDescribed = operation.responses.some(
    described => described.status === status,
  );
  if (isDescribed) return {status, body: parseJson(text)};
  assert.ok(status >= FIRST_ERROR_STATUS, `${id}: ${status}`);
  const failure = failureSchema.parse(JSON.parse(text));
  assert.ok(operation.failures.includes(failure.code), `${id}: ${text}`);
  assert.equal(failureCatalogue[failure.code].status, status);
  return {status, body: failure};
}

/** Fails if a path accepts a method that is not described. */
export async function checkAllowedMethods(
  origin: string,
  listener: Listener,
  headers: Readonly<Record<string, string>> = {},
): Promise<void> {
  const listenerOperations = operations.filter(
    each => each.listener === listener,
  );
  for (const path of new Set(listenerOperations.map(each => each.path))) {
    const allowed = listenerOperations
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

function createUrl(origin: string, path: string, parts: RequestParts): string {
  const filledPath = path
    .replace('{session}', parts.session ?? 'a.b.c.1')
    .replace('{key}', parts.key ?? 'k');
  return `${origin}${filledPath}${parts.query ?? ''}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
