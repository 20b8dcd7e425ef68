/** Keys and values of the tree and its history in the key-value service. */
import {
  settingsRevisionSchema,
  type SettingsRevision,
} from '@goldcrestpier/protocol';
import type {KeyValue} from '@goldcrestpier/platform';
import {settingsNodeSchema, type SettingsNode} from '../tree/node.js';
import {ROOT_PATH} from '../tree/path.js';
import {NodeKind} from '../tree/schema.js';

const SETTINGS_PREFIX = 'goldcrestpier/settings/';
const NODES_PREFIX = `${SETTINGS_PREFIX}tree/nodes`;
const REVISION_DIGITS = 16;

/** Prefix of the revision key and all nodes, which instances read and watch. */
export const TREE_PREFIX = `${SETTINGS_PREFIX}tree/`;
/** Holds the record of the latest edit; each edit compares and writes it. */
export const REVISION_KEY = `${TREE_PREFIX}revision`;

/** Number of edits whose records are kept. */
export const MAX_HISTORY_RECORDS = 500;

/** After a failure of the service, a caller retries after this time. */
export const RETRY_AFTER_MS = 1_000;

/** The tree as read from the key-value service. */
export interface StoredTree {
  /** Number of accepted edits; 0 before the first one. */
  readonly revision: number;
  /** Modification revision of the revision key in the service; 0 if unset. */
  readonly modRevision: number;
  readonly nodes: ReadonlyMap<string, SettingsNode>;
  /** Paths of stored nodes that cannot be parsed. */
  readonly unreadable: readonly string[];
}

/** Parsed value of one key of the tree; undefined if it cannot be parsed. */
export type StoredEntry =
  | {readonly path: string; readonly node: SettingsNode | undefined}
  | {readonly record: SettingsRevision | undefined};

/** Returns the storage key of one node. */
export function toNodeKey(path: string): string {
  return `${NODES_PREFIX}${path}`;
}

/** Returns the storage key of the record of one revision. */
export function toHistoryKey(revision: number): string {
  return `${SETTINGS_PREFIX}history/${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** Returns the storage key that maps an edit id to its revision. */
export function toEditKey(editId: string): string {
  return `${SETTINGS_PREFIX}edits/${editId}`;
}

/** Parses one key below `TREE_PREFIX`. */
export function parseEntry({key, value}: KeyValue): StoredEntry {
  if (key === REVISION_KEY) return {record: parseRecord(value)};
  const path = key.slice(NODES_PREFIX.length);
  return {path, node: settingsNodeSchema.safeParse(parseJson(value)).data};
}

/** Parses the tree; undefined if its revision cannot be determined. */
export function parseTree(values: readonly KeyValue[]): StoredTree | undefined {
  if (values.length === 0) return createInitialTree();
  const nodes = new Map<string, SettingsNode>();
  const unreadable: string[] = [];
  let record: SettingsRevision | undefined;
  for (const value of values) {
    const entry = parseEntry(value);
    if ('record' in entry) record = entry.record;
    else if (entry.node === undefined) unreadable.push(entry.path);
    else nodes.set(entry.path, entry.node);
  }
  if (record === undefined) return undefined;
  const modRevision =
    values.find(({key}) => key === REVISION_KEY)?.modRevision ?? 0;
  return {revision: record.revision, modRevision, nodes, unreadable};
}

/** Parses the record of one edit; undefined if it is invalid. */
export function parseRecord(value: string): SettingsRevision | undefined {
  return settingsRevisionSchema.safeParse(parseJson(value)).data;
}

function createInitialTree(): StoredTree {
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
