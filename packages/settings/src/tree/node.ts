/** The nodes of the tree, as they are stored and as they travel. */
import {z} from 'zod';
import {NodeKind} from './schema.js';

/**
 * What a node overrides, in tables and keys as operators write them
 * (`queue.max_waiting`). Checked with the whole tree, not by itself.
 */
export interface NodeValues {
  readonly [key: string]: unknown;
}

/** One node: what it stands for and what it overrides. */
export const settingsNodeSchema = z.strictObject(
  {
    kind: z.enum(NodeKind, 'expected group, service or workers'),
    values: z.record(z.string(), z.unknown(), 'expected a table').default({}),
  },
  'expected a node',
);

/** One node: what it stands for and what it overrides. */
export interface SettingsNode {
  readonly kind: NodeKind;
  readonly values: NodeValues;
}

/** Nodes by their paths. */
export type SettingsNodes = ReadonlyMap<string, SettingsNode>;

/** Whether a value is a table, and no list, date or plain value. */
export function isTable(value: unknown): value is NodeValues {
  if (typeof value !== 'object' || value === null) return false;
  return !Array.isArray(value) && !(value instanceof Date);
}
