/** Builds the single transaction that writes an edit. */
import {
  ComparisonKind,
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

const MAX_RECORDED_CHANGES = 50;
const MAX_VALUE_CHARACTERS = 100;

/**
 * Maximum steps at one level of a transaction. The service accepts 128 steps,
 * counting those of nested transactions.
 */
const MAX_STEPS_PER_LEVEL = 48;

/** A planned write of an edit. */
export interface EditPlan {
  readonly record: SettingsRevision;
  /** All changes, including those omitted from the record. */
  readonly changes: readonly SettingsChange[];
  readonly transaction: Transaction;
}

/** Plans the write that replaces the stored tree by `after`. */
export function planEdit(
  request: EditRequest,
  stored: StoredTree,
  after: SettingsTree,
  expiredRecord: SettingsRevision | undefined,
  timestamp: Date,
): EditPlan {
  const changes = diffNodes(stored.nodes, after.nodes);
  const record: SettingsRevision = {
    revision: after.revision,
    editId: request.editId,
    by: request.by,
    at: timestamp.toISOString(),
    changes: changes.slice(0, MAX_RECORDED_CHANGES).map(truncateChange),
    omitted: Math.max(changes.length - MAX_RECORDED_CHANGES, 0),
  };
  const transaction: Transaction = {
    // Every edit writes this key, so the compare fails for a concurrent edit.
    compare: [
      {
        kind: ComparisonKind.ModRevision,
        key: REVISION_KEY,
        equals: stored.modRevision,
      },
    ],
    success: [
      ...writeRecord(record),
      ...deleteRecord(expiredRecord),
      ...nestSteps(writeNodes(stored, after.nodes)),
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

function deleteRecord(record: SettingsRevision | undefined): Step[] {
  if (record === undefined) return [];
  return [
    {kind: StepKind.Delete, key: toHistoryKey(record.revision)},
    {kind: StepKind.Delete, key: toEditKey(record.editId)},
  ];
}

function writeNodes(stored: StoredTree, after: SettingsNodes): Step[] {
  const puts = [...after]
    .map(([path, node]) => ({path, value: JSON.stringify(node)}))
    // The first edit writes all nodes, as the initial root was never stored.
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

/** Splits steps that exceed the limit of one level into nested transactions. */
function nestSteps(steps: readonly Step[]): readonly Step[] {
  if (steps.length <= MAX_STEPS_PER_LEVEL) return steps;
  const nestedSteps: Step[] = [];
  for (let start = 0; start < steps.length; start += MAX_STEPS_PER_LEVEL) {
    const success = steps.slice(start, start + MAX_STEPS_PER_LEVEL);
    nestedSteps.push({kind: StepKind.Txn, compare: [], success, failure: []});
  }
  return nestedSteps;
}

function truncateChange(change: SettingsChange): SettingsChange {
  return {
    ...change,
    ...('before' in change ? {before: truncateValue(change.before)} : {}),
    ...('after' in change ? {after: truncateValue(change.after)} : {}),
  };
}

function truncateValue(value: unknown): unknown {
  const text = JSON.stringify(value) ?? '';
  if (text.length <= MAX_VALUE_CHARACTERS) return value;
  return `${text.slice(0, MAX_VALUE_CHARACTERS)}…`;
}
