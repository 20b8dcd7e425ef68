/** Where the tree, its revision and its history stand in the service. */
import {
  settingsRevisionSchema,
  type SettingsRevision,
} from '@goldcrestpier/protocol';
import type {KeyValue} from '@goldcrestpier/platform';
import {settingsNodeSchema, type SettingsNode} from '../tree/node.js';
import {ROOT_PATH} from '../tree/path.js';
import {NodeKind} from '../tree/schema.js';

const PREFIX = 'goldcrestpier/settings/';
const NODES_PREFIX = `${PREFIX}tree/nodes`;
const REVISION_DIGITS = 16;

/** The revision key and all nodes: what instances read and watch. */
export const TREE_PREFIX = `${PREFIX}tree/`;
/** Holds the record of the newest edit; every edit compares and writes it. */
export const REVISION_KEY = `${TREE_PREFIX}revision`;

/** Edits of which the record is kept. */
export const HISTORY_KEPT = 500;

/** The tree as it is stored. */
export interface StoredTree {
  /** Counts the accepted edits; 0 while there was none. */
  readonly revision: number;
  /** The service's own revision of the revision key; 0 while it has none. */
  readonly modRevision: number;
  readonly nodes: ReadonlyMap<string, SettingsNode>;
  /** Nodes that are stored in no readable form. */
  readonly unreadable: readonly string[];
}

/** What one key of the tree holds. */
export type StoredPart =
  | {readonly path: string; readonly node: SettingsNode | undefined}
  | {readonly record: SettingsRevision | undefined};

/** The key of one node. */
export function toNodeKey(path: string): string {
  return `${NODES_PREFIX}${path}`;
}

/** The key of one edit's record. */
export function toHistoryKey(revision: number): string {
  return `${PREFIX}history/${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** The key that tells the revision which an edit became. */
export function toEditKey(editId: string): string {
  return `${PREFIX}edits/${editId}`;
}

/** Reads one key below `TREE_PREFIX`. */
export function parsePart({key, value}: KeyValue): StoredPart {
  if (key === REVISION_KEY) return {record: parseRecord(value)};
  const path = key.slice(NODES_PREFIX.length);
  return {path, node: settingsNodeSchema.safeParse(parseJson(value)).data};
}

/** Reads the tree; undefined when its revision cannot be told. */
export function parseTree(values: readonly KeyValue[]): StoredTree | undefined {
  if (values.length === 0) return createFirst();
  const nodes = new Map<string, SettingsNode>();
  const unreadable: string[] = [];
  let record: SettingsRevision | undefined;
  for (const value of values) {
    const part = parsePart(value);
    if ('record' in part) record = part.record;
    else if (part.node === undefined) unreadable.push(part.path);
    else nodes.set(part.path, part.node);
  }
  if (record === undefined) return undefined;
  const modRevision =
    values.find(({key}) => key === REVISION_KEY)?.modRevision ?? 0;
  return {revision: record.revision, modRevision, nodes, unreadable};
}

/** Reads the record of one edit. */
export function parseRecord(value: string): SettingsRevision | undefined {
  return settingsRevisionSchema.safeParse(parseJson(value)).data;
}

function createFirst(): StoredTree {
  const root = {kind: NodeKind.Group, values: {}};
  const nodes = new Map([[ROOT_PATH, root]]);
  return {revision: 0, modRevision: 0, nodes, unreadable: []};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
