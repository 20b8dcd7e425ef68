/** Every setting in force at one node, with the node that it comes from. */
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {
  findParent,
  isTable,
  toSnakeCase,
  type NodeValues,
  type SettingsTree,
} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import type {EffectiveView} from '../messages/index.js';

interface Leaf {
  /** The key's parts, as operators write them. */
  readonly parts: readonly string[];
  readonly value: unknown;
}

/** Lists what is in force at `node`. */
export function listEffective(
  tree: SettingsTree,
  node: string,
): Result<EffectiveView, Failure> {
  const settings = tree.effective(node);
  if (settings === undefined) {
    return Err(createFailure(FailureCode.SettingsUnknownNode, {node}));
  }
  const values = Object.entries(settings)
    .flatMap(([group, keys]) => listLeaves([group], keys))
    .map(({parts, value}) => {
      const from = findOrigin(tree, node, parts);
      const entry = {key: parts.join('.'), value};
      return from === undefined ? entry : {...entry, from};
    });
  return Ok({revision: tree.revision, node, values});
}

function listLeaves(group: readonly string[], value: unknown): Leaf[] {
  // An empty table is a value of its own: nothing is named in it.
  if (!isTable(value) || Object.keys(value).length === 0) {
    const parts = toSnakeCase(group.join('.')).split('.');
    return [{parts, value}];
  }
  return Object.entries(value).flatMap(([name, inner]) =>
    listLeaves([...group, name], inner),
  );
}

/** The nearest node, from `node` upwards, that sets the key. */
function findOrigin(
  tree: SettingsTree,
  node: string,
  parts: readonly string[],
): string | undefined {
  for (
    let path: string | undefined = node;
    path !== undefined;
    path = findParent(path)
  ) {
    const values = tree.nodes.get(path)?.values;
    if (values !== undefined && setsKey(values, parts)) return path;
  }
  return undefined;
}

function setsKey(values: NodeValues, parts: readonly string[]): boolean {
  let inner: unknown = values;
  for (const part of parts) {
    if (!isTable(inner) || !Object.hasOwn(inner, part)) return false;
    inner = inner[part];
  }
  return true;
}
