/** Where each value that is in force at a node comes from. */
import {listValues, toSnakeCase} from './keys.js';
import {isTable} from './node.js';
import {findParent, toNodePath} from './path.js';
import type {SettingsTree} from './tree.js';

/** One value in force. */
export interface TracedValue {
  readonly key: string;
  readonly value: unknown;
  /** Path of the node that sets it; undefined for a default. */
  readonly from: string | undefined;
}

/** Every value in force at a node; undefined when there is no such node. */
export function traceValues(
  tree: SettingsTree,
  node: string,
): readonly TracedValue[] | undefined {
  const path = toNodePath(node);
  const effective: unknown = tree.effective(path);
  if (!isTable(effective)) return undefined;
  const sources = listSources(tree, path);
  return listValues(effective).map(([codeKey, value]) => {
    const key = toSnakeCase(codeKey);
    return {key, value, from: sources.get(key)};
  });
}

/** The nearest node at or above `path` that sets each key. */
function listSources(
  tree: SettingsTree,
  path: string,
): ReadonlyMap<string, string> {
  const sources = new Map<string, string>();
  let at: string | undefined = path;
  while (at !== undefined) {
    for (const [key] of listValues(tree.nodes.get(at)?.values ?? {})) {
      if (!sources.has(key)) sources.set(key, at);
    }
    at = findParent(at);
  }
  return sources;
}
