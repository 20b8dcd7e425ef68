/** Validates a whole settings tree. Each problem names the node and the key. */
import type {Problem} from '@goldcrestpier/protocol';
import type {SettingsNode, SettingsNodes} from './node.js';
import {
  comparePaths,
  getNodeName,
  getParentPath,
  isNodePath,
  ROOT_PATH,
} from './path.js';
import {NodeKind, type EffectiveSettings} from './schema.js';
import {checkNode, defaultNode, type CheckedNode} from './sections.js';

/** The whole tree must fit into one value of the key-value service. */
export const MAX_TREE_BYTES = 1_000_000;
const MAX_NODES = 3_000;

/** Result of validating a tree. */
export interface CheckedTree {
  readonly problems: readonly Problem[];
  /** Effective settings by node path; valid only if there are no problems. */
  readonly effective: ReadonlyMap<string, EffectiveSettings>;
}

/** Validates the tree structure and the effective settings of every node. */
export function checkTree(nodes: SettingsNodes): CheckedTree {
  const structureProblems = [...checkSize(nodes), ...checkStructure(nodes)];
  if (structureProblems.length > 0) {
    return {problems: structureProblems, effective: new Map()};
  }
  const checked = new Map<string, CheckedNode>();
  const problems: Problem[] = [];
  for (const path of [...nodes.keys()].sort(comparePaths)) {
    const parent = checked.get(getParentPath(path) ?? '') ?? defaultNode;
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
  if (nodes.size > MAX_NODES) {
    const found = `${nodes.size} nodes`;
    return [
      {path: ROOT_PATH, found, expected: `expected ${MAX_NODES} at most`},
    ];
  }
  const bytes = Buffer.byteLength(JSON.stringify([...nodes]), 'utf8');
  if (bytes <= MAX_TREE_BYTES) return [];
  const expected = `expected ${MAX_TREE_BYTES} bytes at most`;
  return [{path: ROOT_PATH, found: `${bytes} bytes`, expected}];
}

function checkStructure(nodes: SettingsNodes): Problem[] {
  const problems: Problem[] = [];
  const addProblem = (path: string, found: string, expected: string) =>
    problems.push({path, found, expected});
  if (nodes.get(ROOT_PATH)?.kind !== NodeKind.Group) {
    const found = nodes.get(ROOT_PATH)?.kind ?? 'nothing';
    addProblem(ROOT_PATH, found, 'expected the root, a group');
  }
  for (const [path] of nodes) {
    if (!isNodePath(path)) {
      addProblem(path, 'another text', 'expected a path such as /pricing/tags');
      continue;
    }
    const parent = getParentPath(path);
    if (parent === undefined) continue;
    const kind = nodes.get(parent)?.kind;
    if (kind !== NodeKind.Group) {
      addProblem(path, kind ?? 'nothing above it', 'expected a group above it');
    }
  }
  return [...problems, ...checkUnique(nodes)];
}

function checkUnique(nodes: SettingsNodes): Problem[] {
  const pathsByPurpose = new Map<string, string>();
  const problems: Problem[] = [];
  for (const [path, node] of nodes) {
    const purpose = describePurpose(path, node);
    if (purpose === undefined) continue;
    const firstPath = pathsByPurpose.get(purpose);
    pathsByPurpose.set(purpose, firstPath ?? path);
    if (firstPath === undefined) continue;
    const expected = `expected one node for ${purpose}, which ${firstPath} is`;
    problems.push({path, found: node.kind, expected});
  }
  return problems;
}

function describePurpose(path: string, node: SettingsNode): string | undefined {
  switch (node.kind) {
    case NodeKind.Group:
      return undefined;
    case NodeKind.Service:
      return `the service ${getNodeName(path)}`;
    case NodeKind.Workers:
      return 'the guarded workers';
  }
}
