/** Computes the differences between two settings trees, key by key. */
import type {SettingsChange} from '@goldcrestpier/protocol';
import {listValues} from './keys.js';
import type {SettingsNode, SettingsNodes} from './node.js';
import {comparePaths} from './path.js';

/** Key of a change that adds a node, removes it or changes its kind. */
export const KIND_KEY = 'kind';

/** Lists every key whose value differs between `before` and `after`. */
export function diffNodes(
  before: SettingsNodes,
  after: SettingsNodes,
): SettingsChange[] {
  const paths = new Set([...before.keys(), ...after.keys()]);
  return [...paths]
    .sort(comparePaths)
    .flatMap(path => diffNode(path, before.get(path), after.get(path)));
}

function diffNode(
  path: string,
  before: SettingsNode | undefined,
  after: SettingsNode | undefined,
): SettingsChange[] {
  const oldValues = listNodeValues(before);
  const newValues = listNodeValues(after);
  const keys = new Set([...oldValues.keys(), ...newValues.keys()]);
  return [...keys]
    .filter(
      key =>
        JSON.stringify(oldValues.get(key)) !==
        JSON.stringify(newValues.get(key)),
    )
    .map(key => ({
      node: path,
      key,
      ...(oldValues.has(key) ? {before: oldValues.get(key)} : {}),
      ...(newValues.has(key) ? {after: newValues.get(key)} : {}),
    }));
}

function listNodeValues(node: SettingsNode | undefined): Map<string, unknown> {
  if (node === undefined) return new Map();
  return new Map([[KIND_KEY, node.kind], ...listValues(node.values)]);
}
