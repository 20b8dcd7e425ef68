/** The checks of a whole tree. Each problem names the node and the key. */
import type {Problem} from '@goldcrestpier/protocol';
import {toSettingsProblems} from '../problems/index.js';
import {
  formatKey,
  inheritValues,
  listMisspelt,
  toCamelCase,
  toSnakeCase,
} from './keys.js';
import type {NodeValues, SettingsNode, SettingsNodes} from './node.js';
import {
  comparePaths,
  findName,
  findParent,
  isNodePath,
  ROOT_PATH,
} from './path.js';
import {
  effectiveSettingsSchema,
  NodeKind,
  type EffectiveSettings,
} from './schema.js';

/** The whole tree must fit one value of the platform's service. */
export const LARGEST_TREE_BYTES = 1_000_000;
const MOST_NODES = 3_000;

/** A tree that was checked, or what is wrong with it. */
export interface CheckedTree {
  readonly problems: readonly Problem[];
  /** What is in force at each node without problems. */
  readonly effective: ReadonlyMap<string, EffectiveSettings>;
}

interface CheckedNode {
  readonly values: NodeValues;
  readonly problems: readonly Problem[];
}

/** Checks the form of the tree and what is in force at every node. */
export function checkTree(nodes: SettingsNodes): CheckedTree {
  const formProblems = [...checkSize(nodes), ...checkForm(nodes)];
  if (formProblems.length > 0) {
    return {problems: formProblems, effective: new Map()};
  }
  const checked = new Map<string, CheckedNode>();
  const effective = new Map<string, EffectiveSettings>();
  const problems: Problem[] = [];
  for (const path of [...nodes.keys()].sort(comparePaths)) {
    const above = checked.get(findParent(path) ?? '');
    const own = nodes.get(path)?.values ?? {};
    const inherited = above?.values ?? {};
    const {node, settings} = checkNode(inheritValues(inherited, own));
    checked.set(path, node);
    if (settings !== undefined) effective.set(path, settings);
    // What a node only inherits is told once, where it is written.
    const told = new Set(above?.problems.map(toText));
    for (const problem of node.problems) {
      if (told.has(toText(problem))) continue;
      problems.push({...problem, path: `${path} ${problem.path}`});
    }
  }
  return {problems, effective};
}

function checkNode(values: NodeValues): {
  node: CheckedNode;
  settings: EffectiveSettings | undefined;
} {
  const keyProblems = checkKeys(values);
  const camel = toCamelCase(values);
  const parsed = effectiveSettingsSchema.safeParse(camel);
  const valueProblems = parsed.success
    ? checkTogether(parsed.data)
    : toSettingsProblems(parsed.error, camel).map(problem => ({
        ...problem,
        path: toSnakeCase(problem.path),
      }));
  const problems = [...keyProblems, ...valueProblems];
  const settings =
    problems.length === 0 && parsed.success ? parsed.data : undefined;
  return {node: {values, problems}, settings};
}

/** Rejects other ways to write a key, such as the code's own. */
function checkKeys(values: NodeValues): Problem[] {
  return listMisspelt(values).map(parts => {
    const key = formatKey(parts);
    const expected = `expected a key as in ${toSnakeCase(key)}`;
    return {path: key, found: 'another spelling', expected};
  });
}

/** Checks settings that must fit each other. */
function checkTogether({workers, ejection}: EffectiveSettings): Problem[] {
  const problems: Problem[] = [];
  if (workers.renewMs >= workers.leaseMs) {
    problems.push({
      path: 'workers.renew_ms',
      found: String(workers.renewMs),
      expected: `expected less than lease_ms, ${workers.leaseMs}`,
    });
  }
  if (ejection.baseMs > ejection.maxMs) {
    problems.push({
      path: 'ejection.base_ms',
      found: String(ejection.baseMs),
      expected: `expected no more than max_ms, ${ejection.maxMs}`,
    });
  }
  return problems;
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

function toText({path, found, expected}: Problem): string {
  return JSON.stringify([path, found, expected]);
}
