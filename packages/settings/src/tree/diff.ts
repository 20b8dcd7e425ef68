/** What differs between two trees, key by key. */
import type {SettingsChange} from '@goldcrestpier/protocol';
import {listValues} from './keys.js';
import type {SettingsNode, SettingsNodes} from './node.js';
import {comparePaths} from './path.js';

/** Under this key a change tells that a node came, went or turned. */
export const KIND_KEY = 'kind';

/** Every key that one step from `before` to `after` changes. */
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
  node: string,
  before: SettingsNode | undefined,
  after: SettingsNode | undefined,
): SettingsChange[] {
  const old = listNode(before);
  const now = listNode(after);
  const keys = new Set([...old.keys(), ...now.keys()]);
  return [...keys]
    .filter(
      key => JSON.stringify(old.get(key)) !== JSON.stringify(now.get(key)),
    )
    .map(key => ({
      node,
      key,
      ...(old.has(key) ? {before: old.get(key)} : {}),
      ...(now.has(key) ? {after: now.get(key)} : {}),
    }));
}

function listNode(node: SettingsNode | undefined): Map<string, unknown> {
  if (node === undefined) return new Map();
  return new Map([[KIND_KEY, node.kind], ...listValues(node.values)]);
}
