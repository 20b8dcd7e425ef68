/** Nodes of the tree, as they are stored and sent between processes. */
import {z} from 'zod';
import {NodeKind} from './schema.js';

/**
 * Values that a node overrides, in tables with snake_case keys
 * (`queue.max_waiting`). They are validated with the whole tree, not alone.
 */
export interface NodeValues {
  readonly [key: string]: unknown;
}

/** Schema of one node: its kind and the values it overrides. */
export const settingsNodeSchema = z.strictObject(
  {
    kind: z.enum(NodeKind, 'expected group, service or workers'),
    values: z.record(z.string(), z.unknown(), 'expected a table').default({}),
  },
  'expected a node',
);

/** One node: its kind and the values it overrides. */
export interface SettingsNode {
  readonly kind: NodeKind;
  readonly values: NodeValues;
}

/** Nodes by path. */
export type SettingsNodes = ReadonlyMap<string, SettingsNode>;

/** Whether a value is a table rather than a list, a date or a scalar. */
export function isTable(value: unknown): value is NodeValues {
  if (typeof value !== 'object' || value === null) return false;
  return !Array.isArray(value) && !(value instanceof Date);
}
