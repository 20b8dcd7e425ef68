/** OpenAPI 3.1 document of both listeners. */
import {
  failureCatalogue,
  FailureCode,
  type FailureEntry,
} from '@goldcrestpier/protocol';
import {callersOperations} from './callers.js';
import {Listener, type SuccessResponse, type Operation} from './operation.js';
import {operatorsOperations} from './operators.js';
import {createReference, createSchemaComponents} from './schemas.js';

const TOKEN_SECURITY_SCHEME = 'operatorsToken';
const RETRY_AFTER_HEADER = {
  description: 'When to come back, in seconds; absent when it cannot help.',
  schema: {type: 'integer', minimum: 0},
};

/** The operations of both listeners. */
export const operations: readonly Operation[] = [
  ...callersOperations,
  ...operatorsOperations,
];

/** Creates the OpenAPI document. */
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
      securitySchemes: {
        [TOKEN_SECURITY_SCHEME]: {type: 'http', scheme: 'bearer'},
      },
    },
  };
}

function createPaths(): Record<string, Record<string, unknown>> {
  const paths: Record<string, Record<string, unknown>> = {};
  for (const operation of operations) {
    const methods = (paths[operation.path] ??= {});
    methods[operation.method] = createOperationObject(operation);
  }
  return paths;
}

function createOperationObject(operation: Operation): Record<string, unknown> {
  const {id, listener, summary, parameters, body} = operation;
  const requiresToken = listener === Listener.Operators;
  return {
    operationId: id,
    tags: [listener],
    summary,
    ...(requiresToken ? {security: [{[TOKEN_SECURITY_SCHEME]: []}]} : {}),
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
      ...Object.fromEntries(operation.responses.map(createResponseEntry)),
      ...createFailureResponses(operation.failures),
    },
  };
}

function createResponseEntry({status, description, schema}: SuccessResponse) {
  const content =
    schema === undefined
      ? {}
      : {content: {'application/json': {schema: createReference(schema)}}};
  return [String(status), {description, ...content}] as const;
}

/** Creates one response for each status, which lists its failure codes. */
function createFailureResponses(
  codes: readonly FailureCode[],
): Record<string, unknown> {
  const responses: Record<string, unknown> = {};
  for (const status of new Set(codes.map(getStatus))) {
    const matchingCodes = Object.values(FailureCode).filter(
      code => codes.includes(code) && getStatus(code) === status,
    );
    responses[String(status)] = {
      description: `One of: ${matchingCodes.join(', ')}.`,
      headers: {'Retry-After': RETRY_AFTER_HEADER},
      content: {'application/json': {schema: createReference('Failure')}},
    };
  }
  return responses;
}

function getStatus(code: FailureCode): number {
  const entry: Pick<FailureEntry<FailureCode>, 'status'> = failureCatalogue[
    code
  ];
  return entry.status;
}
