/** Where each value that is in force at a node comes from. */
import {listValues, toSnakeCase} from './keys.js';
import {isTable} from './node.js';
import {findParent, toNodePath} from './path.js';
import type {SettingsTree} from './tree.js';

/** One value in force. */
export interface TracedValue {
  /** As operators write it. */
  readonly key: string;
  readonly value: unknown;
  /** Path of the node that sets it; undefined for a default. */
  readonly from: string | undefined;
}

/**
 * Every value in force at `node`; undefined when there is no such node. A
 * setting in which nothing is named, such as quotas, is shown as empty.
 */
export function traceValues(
  tree: SettingsTree,
  node: string,
): readonly TracedValue[] | undefined {
  const path = toNodePath(node);
  const effective = tree.effective(path);
  if (effective === undefined) return undefined;
  const sources = listSources(tree, path);
  return Object.entries(effective)
    .flatMap(([group, settings]) =>
      Object.entries(settings).flatMap(([name, value]: [string, unknown]) =>
        listNamed(toSnakeCase(`${group}.${name}`), value),
      ),
    )
    .map(([key, value]) => ({key, value, from: sources.get(key)}));
}

function listNamed(
  key: string,
  value: unknown,
): ReadonlyArray<readonly [key: string, value: unknown]> {
  if (!isTable(value) || Object.keys(value).length === 0) {
    return [[key, value]];
  }
  return listValues(value, [key]);
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
