/** Applies the events of a watch to a tree. */
import type {KeyValueEvent} from '@goldcrestpier/platform';
import {parseEntry, REVISION_KEY} from '../edits/layout.js';
import type {SettingsNode} from '../tree/node.js';
import {SettingsTree} from '../tree/tree.js';

/**
 * Returns the tree after the events. Returns undefined if a revision is missing
 * or an event is invalid; the whole tree must then be read again.
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
  for (const {kv, isDeleted: isDeleted} of events) {
    if (isDeleted && kv.key === REVISION_KEY) return undefined;
    const entry = parseEntry(kv);
    if ('record' in entry) revision = entry.record?.revision;
    else if (!updateNode(nodes, entry.path, entry.node, isDeleted)) {
      return undefined;
    }
  }
  if (revision === undefined) return undefined;
  // Already received from a peer, or delivered twice.
  if (revision <= tree.revision) return tree;
  if (revision !== tree.revision + 1) return undefined;
  return SettingsTree.create(revision, nodes).unwrapOr(undefined);
}

function updateNode(
  nodes: Map<string, SettingsNode>,
  path: string,
  node: SettingsNode | undefined,
  isDeleted: boolean,
): boolean {
  if (isDeleted) nodes.delete(path);
  else if (node !== undefined) nodes.set(path, node);
  return isDeleted || node !== undefined;
}

/** Groups the events by edit: each edit is one revision of the service. */
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
