/** The whole description as OpenAPI 3.1. */
import {
  failureCatalogue,
  FailureCode,
  type FailureEntry,
} from '@goldcrestpier/protocol';
import {callersOperations} from './callers.js';
import {Listener, type Answer, type Operation} from './operation.js';
import {operatorsOperations} from './operators.js';
import {createReference, createSchemaComponents} from './schemas.js';

const TOKEN_SCHEME = 'operatorsToken';
const RETRY_AFTER = {
  description: 'When to come back, in seconds; absent when it cannot help.',
  schema: {type: 'integer', minimum: 0},
};

/** Every call that is described. */
export const operations: readonly Operation[] = [
  ...callersOperations,
  ...operatorsOperations,
];

/** Creates the description of both listeners. */
export function createOpenApiDocument(): Record<string, unknown> {
  return {
    openapi: '3.1.0',
    info: {
      title: 'goldcrestpier',
      version: '1',
      description:
        'The calls of callers and of operators. Each has a listener of its own. docs/api.md tells what the calls promise.',
      license: {name: 'Apache-2.0', identifier: 'Apache-2.0'},
    },
    servers: [{url: '/'}],
    tags: Object.values(Listener).map(name => ({name})),
    paths: createPaths(),
    components: {
      schemas: createSchemaComponents(),
      securitySchemes: {[TOKEN_SCHEME]: {type: 'http', scheme: 'bearer'}},
    },
  };
}

function createPaths(): Record<string, Record<string, unknown>> {
  const paths: Record<string, Record<string, unknown>> = {};
  for (const operation of operations) {
    const methods = (paths[operation.path] ??= {});
    methods[operation.method] = createOperation(operation);
  }
  return paths;
}

function createOperation(operation: Operation): Record<string, unknown> {
  const {id, listener, summary, parameters, body} = operation;
  const isGuarded = listener === Listener.Operators;
  return {
    operationId: id,
    tags: [listener],
    summary,
    ...(isGuarded ? {security: [{[TOKEN_SCHEME]: []}]} : {}),
    parameters,
    ...(body === undefined
      ? {}
      : {
          requestBody: {
            required: true,
            content: {'application/json': {schema: createReference(body)}},
          },
        }),
    responses: {
      ...Object.fromEntries(operation.answers.map(createAnswer)),
      ...createFailures(operation.failures),
    },
  };
}

function createAnswer({status, description, schema}: Answer) {
  const content =
    schema === undefined
      ? {}
      : {content: {'application/json': {schema: createReference(schema)}}};
  return [String(status), {description, ...content}] as const;
}

/** One response for each status, which names the codes that have it. */
function createFailures(
  codes: readonly FailureCode[],
): Record<string, unknown> {
  const responses: Record<string, unknown> = {};
  for (const status of new Set(codes.map(readStatus))) {
    const named = Object.values(FailureCode).filter(
      code => codes.includes(code) && readStatus(code) === status,
    );
    responses[String(status)] = {
      description: `One of: ${named.join(', ')}.`,
      headers: {'Retry-After': RETRY_AFTER},
      content: {'application/json': {schema: createReference('Failure')}},
    };
  }
  return responses;
}

function readStatus(code: FailureCode): number {
  const entry: Pick<FailureEntry<FailureCode>, 'status'> = failureCatalogue[
    code
  ];
  return entry.status;
}
