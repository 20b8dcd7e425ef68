/** What one change of the settings does to a tree, key by key. */
import {
  ChangeKind,
  type SettingsChange,
  type SettingsDifference,
  type SettingsView,
} from '@goldcrestpier/operators';
import {flattenValues, type Leaf} from '../output/index.js';

type Nodes = SettingsView['nodes'];

/** Lists the keys that `change` would change in the tree `base`. */
export function listDifferences(
  change: SettingsChange,
  base: SettingsView,
): SettingsDifference[] {
  switch (change.kind) {
    case ChangeKind.Set:
    case ChangeKind.Unset: {
      const {node, key} = change;
      const leaves = flattenValues(base.nodes[node] ?? {});
      const before = leaves.find(leaf => leaf.key === key)?.value;
      const after = change.kind === ChangeKind.Set ? change.value : undefined;
      return [{node, key, before, after}];
    }
    case ChangeKind.Remove: {
      const below = Object.entries(base.nodes).filter(
        ([path]) => path === change.node || path.startsWith(`${change.node}/`),
      );
      return compareNodes(Object.fromEntries(below), {});
    }
    case ChangeKind.Apply:
      return compareNodes(base.nodes, change.document);
  }
}

function compareNodes(before: Nodes, after: Nodes): SettingsDifference[] {
  const paths = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return paths.sort().flatMap(node => {
    const old = toMap(flattenValues(before[node] ?? {}));
    const young = toMap(flattenValues(after[node] ?? {}));
    const keys = [...new Set([...old.keys(), ...young.keys()])].sort();
    return keys
      .map(key => ({node, key, before: old.get(key), after: young.get(key)}))
      .filter(
        difference =>
          JSON.stringify(difference.before) !==
          JSON.stringify(difference.after),
      );
  });
}

function toMap(leaves: readonly Leaf[]): Map<string, unknown> {
  return new Map(leaves.map(({key, value}) => [key, value]));
}
