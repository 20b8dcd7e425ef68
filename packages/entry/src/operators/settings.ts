/** The operators' settings calls, on the store and the tree in force. */
import {
  ChangeKind,
  type EditRequest,
  type SettingsChange,
  type SettingsOperations,
  type SettingsView,
} from '@goldcrestpier/operators';
import {
  createFailure,
  FailureCode,
  toProblems,
  type Failure,
} from '@goldcrestpier/protocol';
import {
  EditKind,
  settingsNodeSchema,
  traceValues,
  type SettingsEdit,
  type SettingsFollower,
  type SettingsNodes,
  type SettingsStore,
  type SettingsTree,
} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

/** Creates the operators' settings calls. */
export function createSettingsOperations(
  store: SettingsStore,
  follower: SettingsFollower,
): SettingsOperations {
  /** The newest tree; the one in force here while the platform is out. */
  const readTree = async (): Promise<SettingsTree> => {
    const read = await store.read();
    return read.isOk() ? read.value : follower.current;
  };
  return {
    read: async node => viewNodes(await readTree(), node),
    async readEffective(node) {
      const tree = await readTree();
      const values = traceValues(tree, node);
      if (values === undefined) return Err(describeUnknown(node));
      const shown = values.map(({from, ...value}) =>
        from === undefined ? value : {...value, from},
      );
      return Ok({revision: tree.revision, node, values: shown});
    },
    async edit(request) {
      const edits = toEdits(request.changes);
      if (edits.isErr()) return edits;
      const answer = await store.edit(
        toStoreRequest(request, edits.value),
        new Date(),
      );
      return answer.map(({revision}) => ({id: request.id, revision}));
    },
    async readHistory(limit) {
      const records = await store.history(limit);
      return records.map(list => ({
        edits: list.map(({revision, editId, by, at, changes}) => ({
          revision,
          id: editId,
          by,
          at: Date.parse(at),
          changes: changes.map(({node, key}) => `${node} ${key}`),
        })),
      }));
    },
    async diff(from, to) {
      const current = await readTree();
      const last = to ?? current.revision;
      const depth = current.revision - Math.min(from, last);
      const records = await store.history(depth);
      if (records.isErr()) return records;
      const between = records.value
        .filter(({revision}) => revision > from && revision <= last)
        .reverse();
      const differences = mergeChanges(between.flatMap(({changes}) => changes));
      return Ok({from, to: last, differences});
    },
  };
}

function viewNodes(
  tree: SettingsTree,
  node: string | undefined,
): Result<SettingsView, Failure> {
  const {revision, nodes} = tree;
  if (node === undefined) return Ok({revision, nodes: toRecord(nodes)});
  const found = nodes.get(node);
  if (found === undefined) return Err(describeUnknown(node));
  return Ok({revision, nodes: {[node]: found}});
}

function toRecord(nodes: SettingsNodes): Record<string, unknown> {
  return Object.fromEntries(nodes);
}

function toStoreRequest(
  {id, by, expectedRevision}: EditRequest,
  edits: SettingsEdit[],
) {
  const request = {editId: id, by, edits};
  return expectedRevision === undefined
    ? request
    : {...request, expectedRevision};
}

function toEdits(
  changes: readonly SettingsChange[],
): Result<SettingsEdit[], Failure> {
  const edits: SettingsEdit[] = [];
  for (const change of changes) {
    const edit = toEdit(change);
    if (edit.isErr()) return edit;
    edits.push(edit.value);
  }
  return Ok(edits);
}

function toEdit(change: SettingsChange): Result<SettingsEdit, Failure> {
  switch (change.kind) {
    case ChangeKind.Set: {
      const {node, key, value} = change;
      return Ok({kind: EditKind.Set, node, key, value});
    }
    case ChangeKind.Unset:
      return Ok({kind: EditKind.Unset, node: change.node, key: change.key});
    case ChangeKind.Remove:
      return Ok({kind: EditKind.RemoveNode, node: change.node});
    case ChangeKind.Apply: {
      const nodes = z
        .record(z.string(), settingsNodeSchema)
        .safeParse(change.document);
      if (nodes.success) return Ok({kind: EditKind.Apply, nodes: nodes.data});
      const problems = toProblems(nodes.error, change.document);
      return Err(createFailure(FailureCode.SettingsInvalid, {problems}));
    }
  }
}

interface KeyChange {
  readonly node: string;
  readonly key: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** The first "before" and the last "after" of each key. */
function mergeChanges(changes: readonly KeyChange[]): KeyChange[] {
  const merged = new Map<string, KeyChange>();
  for (const change of changes) {
    const name = `${change.node} ${change.key}`;
    const earlier = merged.get(name);
    if (earlier === undefined) {
      merged.set(name, change);
      continue;
    }
    const {node, key} = change;
    const before = 'before' in earlier ? {before: earlier.before} : {};
    const after = 'after' in change ? {after: change.after} : {};
    merged.set(name, {node, key, ...before, ...after});
  }
  return [...merged.values()];
}

function describeUnknown(node: string): Failure {
  return createFailure(FailureCode.SettingsUnknownNode, {node});
}
