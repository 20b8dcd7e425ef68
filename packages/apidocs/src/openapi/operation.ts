/** Types that describe the operations of an HTTP interface. */
import type {FailureCode} from '@goldcrestpier/protocol';
import type {SchemaName} from './schemas.js';

/** A listener; its value is the tag of its operations. */
export enum Listener {
  Callers = 'callers',
  Operators = 'operators',
}

/** A parameter in a path, a query or a header. */
export interface Parameter {
  readonly name: string;
  readonly in: 'path' | 'query' | 'header';
  readonly required: boolean;
  readonly description: string;
  readonly schema: Readonly<Record<string, unknown>>;
}

/** A response that is not a failure. */
export interface SuccessResponse {
  readonly status: number;
  readonly description: string;
  /** Absent if the body has no schema. */
  readonly schema?: SchemaName;
}

/** An operation: a method on a path. */
export interface Operation {
  readonly id: string;
  readonly listener: Listener;
  readonly method: 'get' | 'put' | 'post' | 'delete';
  readonly path: string;
  readonly summary: string;
  readonly parameters: readonly Parameter[];
  readonly body?: SchemaName;
  readonly responses: readonly SuccessResponse[];
  readonly failures: readonly FailureCode[];
}
