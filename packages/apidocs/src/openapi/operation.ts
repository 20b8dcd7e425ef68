/** One call of an HTTP interface, as it is described. */
import type {FailureCode} from '@goldcrestpier/protocol';
import type {SchemaName} from './schemas.js';

/** The two listeners that are described. */
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

/** One answer that is no failure. */
export interface Answer {
  readonly status: number;
  readonly description: string;
  /** Absent for an answer without a described body. */
  readonly schema?: SchemaName;
}

/** One call of an HTTP interface. */
export interface Operation {
  readonly id: string;
  readonly listener: Listener;
  readonly method: 'get' | 'put' | 'post' | 'delete';
  readonly path: string;
  readonly summary: string;
  readonly parameters: readonly Parameter[];
  readonly body?: SchemaName;
  readonly answers: readonly Answer[];
  readonly failures: readonly FailureCode[];
}
