/** The one transaction in which an edit is written. */
import {
  CompareKind,
  StepKind,
  type Step,
  type Transaction,
} from '@goldcrestpier/platform';
import type {SettingsChange, SettingsRevision} from '@goldcrestpier/protocol';
import {diffNodes} from '../tree/diff.js';
import type {SettingsNodes} from '../tree/node.js';
import type {SettingsTree} from '../tree/tree.js';
import type {EditRequest} from './edit.js';
import {
  REVISION_KEY,
  toEditKey,
  toHistoryKey,
  toNodeKey,
  type StoredTree,
} from './layout.js';

const MOST_CHANGES_LISTED = 50;
const LONGEST_VALUE_CHARACTERS = 100;

/** Steps in one transaction; the service takes 128, nested ones with them. */
const STEPS_TOGETHER = 48;

/** What is to be written. */
export interface EditPlan {
  readonly record: SettingsRevision;
  /** All changes, also those that are too many for the record. */
  readonly changes: readonly SettingsChange[];
  readonly transaction: Transaction;
}

/** Plans the edit that turns the stored tree into `after`. */
export function planEdit(
  request: EditRequest,
  stored: StoredTree,
  after: SettingsTree,
  forgotten: SettingsRevision | undefined,
  at: Date,
): EditPlan {
  const changes = diffNodes(stored.nodes, after.nodes);
  const record: SettingsRevision = {
    revision: after.revision,
    editId: request.editId,
    by: request.by,
    at: at.toISOString(),
    changes: changes.slice(0, MOST_CHANGES_LISTED).map(shorten),
    omitted: Math.max(changes.length - MOST_CHANGES_LISTED, 0),
  };
  const transaction: Transaction = {
    // Every edit writes this key, so whoever comes second does not match.
    compare: [
      {
        kind: CompareKind.ModRevision,
        key: REVISION_KEY,
        equals: stored.modRevision,
      },
    ],
    success: [
      ...writeRecord(record),
      ...forget(forgotten),
      ...group(writeNodes(stored, after.nodes)),
    ],
    failure: [
      {kind: StepKind.Get, key: toEditKey(request.editId)},
      {kind: StepKind.Get, key: REVISION_KEY},
    ],
  };
  return {record, changes, transaction};
}

function writeRecord(record: SettingsRevision): Step[] {
  const value = JSON.stringify(record);
  return [
    {kind: StepKind.Put, key: REVISION_KEY, value},
    {kind: StepKind.Put, key: toHistoryKey(record.revision), value},
    {
      kind: StepKind.Put,
      key: toEditKey(record.editId),
      value: String(record.revision),
    },
  ];
}

function forget(record: SettingsRevision | undefined): Step[] {
  if (record === undefined) return [];
  return [
    {kind: StepKind.Delete, key: toHistoryKey(record.revision)},
    {kind: StepKind.Delete, key: toEditKey(record.editId)},
  ];
}

function writeNodes(stored: StoredTree, after: SettingsNodes): Step[] {
  const puts = [...after]
    .map(([path, node]) => ({path, value: JSON.stringify(node)}))
    // The root is written also where nothing was stored before.
    .filter(
      ({path, value}) =>
        stored.modRevision === 0 ||
        value !== JSON.stringify(stored.nodes.get(path)),
    )
    .map(({path, value}): Step => ({
      kind: StepKind.Put,
      key: toNodeKey(path),
      value,
    }));
  const deletes = [...stored.nodes.keys(), ...stored.unreadable]
    .filter(path => !after.has(path))
    .map((path): Step => ({kind: StepKind.Delete, key: toNodeKey(path)}));
  return [...puts, ...deletes];
}

/** Nests steps that are too many for one level. */
function group(steps: readonly Step[]): readonly Step[] {
  if (steps.length <= STEPS_TOGETHER) return steps;
  const groups: Step[] = [];
  for (let from = 0; from < steps.length; from += STEPS_TOGETHER) {
    const success = steps.slice(from, from + STEPS_TOGETHER);
    groups.push({kind: StepKind.Txn, compare: [], success, failure: []});
  }
  return groups;
}

function shorten(change: SettingsChange): SettingsChange {
  return {
    ...change,
    ...('before' in change ? {before: shortenValue(change.before)} : {}),
    ...('after' in change ? {after: shortenValue(change.after)} : {}),
  };
}

function shortenValue(value: unknown): unknown {
  const text = JSON.stringify(value) ?? '';
  if (text.length <= LONGEST_VALUE_CHARACTERS) return value;
  return `${text.slice(0, LONGEST_VALUE_CHARACTERS)}…`;
}
