/** Finds the node that sets each effective value of a node. */
import {listValues, toSnakeCase} from './keys.js';
import {isTable} from './node.js';
import {getParentPath, normalizeNodePath} from './path.js';
import type {SettingsTree} from './tree.js';

/** One effective value and its source. */
export interface TracedValue {
  /** In snake_case, as operators write it. */
  readonly key: string;
  readonly value: unknown;
  /** Path of the node that sets the value; undefined for a default. */
  readonly from: string | undefined;
}

/**
 * Lists every effective value of `node`; undefined if the node doesn't exist.
 * A setting that is an empty table, such as `quotas`, is listed as empty.
 */
export function traceValues(
  tree: SettingsTree,
  node: string,
): readonly TracedValue[] | undefined {
  const path = normalizeNodePath(node);
  const effective = tree.getEffective(path);
  if (effective === undefined) return undefined;
  const sources = findSources(tree, path);
  return Object.entries(effective)
    .flatMap(([section, settings]) =>
      Object.entries(settings).flatMap(([name, value]: [string, unknown]) =>
        expandValue(toSnakeCase(`${section}.${name}`), value),
      ),
    )
    .map(([key, value]) => ({key, value, from: sources.get(key)}));
}

function expandValue(
  key: string,
  value: unknown,
): ReadonlyArray<readonly [key: string, value: unknown]> {
  if (!isTable(value) || Object.keys(value).length === 0) {
    return [[key, value]];
  }
  return listValues(value, [key]);
}

/** Maps each key to the nearest node, from `path` upwards, that sets it. */
function findSources(
  tree: SettingsTree,
  path: string,
): ReadonlyMap<string, string> {
  const sources = new Map<string, string>();
  let currentPath: string | undefined = path;
  while (currentPath !== undefined) {
    for (const [key] of listValues(tree.nodes.get(currentPath)?.values ?? {})) {
      if (!sources.has(key)) sources.set(key, currentPath);
    }
    currentPath = getParentPath(currentPath);
  }
  return sources;
}
