/** Applies what a watch tells to the tree at hand. */
import type {KeyValueEvent} from '@goldcrestpier/platform';
import {parsePart, REVISION_KEY} from '../edits/layout.js';
import type {SettingsNode} from '../tree/node.js';
import {SettingsTree} from '../tree/tree.js';

/**
 * The tree after the events; undefined when they do not follow on it or
 * cannot be read, and the whole tree has to be read anew.
 */
export function applyEvents(
  tree: SettingsTree,
  events: readonly KeyValueEvent[],
): SettingsTree | undefined {
  let next: SettingsTree | undefined = tree;
  for (const edit of groupByRevision(events)) {
    next = next && applyEdit(next, edit);
  }
  return next;
}

function applyEdit(
  tree: SettingsTree,
  events: readonly KeyValueEvent[],
): SettingsTree | undefined {
  const nodes = new Map(tree.nodes);
  let revision: number | undefined;
  for (const {kv, deleted} of events) {
    if (deleted && kv.key === REVISION_KEY) return undefined;
    const part = parsePart(kv);
    if ('record' in part) revision = part.record?.revision;
    else if (!changeNode(nodes, part.path, part.node, deleted)) {
      return undefined;
    }
  }
  if (revision === undefined) return undefined;
  // Known from a peer already, or told twice.
  if (revision <= tree.revision) return tree;
  if (revision !== tree.revision + 1) return undefined;
  return SettingsTree.create(revision, nodes).unwrapOr(undefined);
}

function changeNode(
  nodes: Map<string, SettingsNode>,
  path: string,
  node: SettingsNode | undefined,
  isDeleted: boolean,
): boolean {
  if (isDeleted) nodes.delete(path);
  else if (node !== undefined) nodes.set(path, node);
  return isDeleted || node !== undefined;
}

/** Each edit is one revision of the service. */
function groupByRevision(
  events: readonly KeyValueEvent[],
): ReadonlyArray<readonly KeyValueEvent[]> {
  const groups = new Map<number, KeyValueEvent[]>();
  for (const event of events) {
    const group = groups.get(event.kv.modRevision) ?? [];
    groups.set(event.kv.modRevision, [...group, event]);
  }
  return [...groups].sort(([a], [b]) => a - b).map(([, group]) => group);
}
