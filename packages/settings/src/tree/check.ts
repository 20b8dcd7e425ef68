/** The checks of a whole tree. Each problem names the node and the key. */
import type {Problem} from '@goldcrestpier/protocol';
import type {SettingsNode, SettingsNodes} from './node.js';
import {
  comparePaths,
  findName,
  findParent,
  isNodePath,
  ROOT_PATH,
} from './path.js';
import {NodeKind, type EffectiveSettings} from './schema.js';
import {checkNode, defaultNode, type CheckedNode} from './sections.js';

/** The whole tree must fit one value of the platform's service. */
export const LARGEST_TREE_BYTES = 1_000_000;
const MOST_NODES = 3_000;

/** A tree that was checked, or what is wrong with it. */
export interface CheckedTree {
  readonly problems: readonly Problem[];
  /** What is in force at each node; of use only without problems. */
  readonly effective: ReadonlyMap<string, EffectiveSettings>;
}

/** Checks the form of the tree and what is in force at every node. */
export function checkTree(nodes: SettingsNodes): CheckedTree {
  const formProblems = [...checkSize(nodes), ...checkForm(nodes)];
  if (formProblems.length > 0) {
    return {problems: formProblems, effective: new Map()};
  }
  const checked = new Map<string, CheckedNode>();
  const problems: Problem[] = [];
  for (const path of [...nodes.keys()].sort(comparePaths)) {
    const parent = checked.get(findParent(path) ?? '') ?? defaultNode;
    const check = checkNode(parent, nodes.get(path)?.values ?? {});
    checked.set(path, check.node);
    for (const problem of check.problems) {
      problems.push({...problem, path: `${path} ${problem.path}`});
    }
  }
  const effective = [...checked].map(
    ([path, {settings}]) => [path, settings] as const,
  );
  return {problems, effective: new Map(effective)};
}

function checkSize(nodes: SettingsNodes): Problem[] {
  if (nodes.size > MOST_NODES) {
    const found = `${nodes.size} nodes`;
    return [
      {path: ROOT_PATH, found, expected: `expected ${MOST_NODES} at most`},
    ];
  }
  const bytes = Buffer.byteLength(JSON.stringify([...nodes]), 'utf8');
  if (bytes <= LARGEST_TREE_BYTES) return [];
  const expected = `expected ${LARGEST_TREE_BYTES} bytes at most`;
  return [{path: ROOT_PATH, found: `${bytes} bytes`, expected}];
}

function checkForm(nodes: SettingsNodes): Problem[] {
  const problems: Problem[] = [];
  const tell = (path: string, found: string, expected: string) =>
    problems.push({path, found, expected});
  if (nodes.get(ROOT_PATH)?.kind !== NodeKind.Group) {
    const found = nodes.get(ROOT_PATH)?.kind ?? 'nothing';
    tell(ROOT_PATH, found, 'expected the root, a group');
  }
  for (const [path] of nodes) {
    if (!isNodePath(path)) {
      tell(path, 'another text', 'expected a path such as /pricing/tags');
      continue;
    }
    const parent = findParent(path);
    if (parent === undefined) continue;
    const kind = nodes.get(parent)?.kind;
    if (kind !== NodeKind.Group) {
      tell(path, kind ?? 'nothing above it', 'expected a group above it');
    }
  }
  return [...problems, ...checkUnique(nodes)];
}

function checkUnique(nodes: SettingsNodes): Problem[] {
  const holders = new Map<string, string>();
  const problems: Problem[] = [];
  for (const [path, node] of nodes) {
    const purpose = describePurpose(path, node);
    if (purpose === undefined) continue;
    const holder = holders.get(purpose);
    holders.set(purpose, holder ?? path);
    if (holder === undefined) continue;
    const expected = `expected one node for ${purpose}, which ${holder} is`;
    problems.push({path, found: node.kind, expected});
  }
  return problems;
}

function describePurpose(path: string, node: SettingsNode): string | undefined {
  switch (node.kind) {
    case NodeKind.Group:
      return undefined;
    case NodeKind.Service:
      return `the service ${findName(path)}`;
    case NodeKind.Workers:
      return 'the guarded workers';
  }
}
