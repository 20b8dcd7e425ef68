/**
 * The tree as a TOML document: one table for each node, named by its path,
 * with the node's kind and what it overrides.
 */
import {
  createFailure,
  FailureCode,
  type Failure,
  type Problem,
} from '@goldcrestpier/protocol';
import {stringify} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results-es';
import {toSettingsProblems} from '../problems/index.js';
import {parseToml} from '../process/load.js';
import {
  isTable,
  settingsNodeSchema,
  type NodeValues,
  type SettingsNode,
  type SettingsNodes,
} from './node.js';
import {ROOT_PATH, toNodePath} from './path.js';
import {NodeKind} from './schema.js';
import type {SettingsTree} from './tree.js';

const REVISION_KEY = 'revision';

/** What a document holds. Its values are checked with the whole tree. */
export interface SettingsDocument {
  /** The revision from which the document was made, if it says so. */
  readonly revision: number | undefined;
  readonly nodes: SettingsNodes;
}

/** Writes a tree as TOML, with its revision. */
export function formatDocument(tree: SettingsTree): string {
  const tables = [...tree.nodes].map(
    ([path, {kind, values}]) => [path, {kind, ...values}] as const,
  );
  return stringify({
    [REVISION_KEY]: tree.revision,
    ...Object.fromEntries(tables),
  });
}

/** Reads a TOML document. */
export function parseDocument(text: string): Result<SettingsDocument, Failure> {
  const toml = parseToml(text);
  return toml.isErr() ? refuse([toml.error]) : readDocument(toml.value);
}

function readDocument(document: NodeValues): Result<SettingsDocument, Failure> {
  const {[REVISION_KEY]: revision, ...tables} = document;
  const problems: Problem[] = [];
  const nodes = new Map<string, SettingsNode>();
  for (const [name, table] of Object.entries(tables)) {
    const path = toNodePath(name);
    const node = parseNode(path, table);
    if (node.isErr()) problems.push(...node.error);
    else if (nodes.has(path)) problems.push(describeTwice(path));
    else nodes.set(path, node.value);
  }
  if (revision !== undefined && !isRevision(revision)) {
    problems.push({
      path: REVISION_KEY,
      found: JSON.stringify(revision),
      expected: 'expected a whole number, 0 or more',
    });
  }
  if (problems.length > 0) return refuse(problems);
  if (!nodes.has(ROOT_PATH)) {
    nodes.set(ROOT_PATH, {kind: NodeKind.Group, values: {}});
  }
  return Ok({revision: isRevision(revision) ? revision : undefined, nodes});
}

/**
 * Reads a value as it is typed on a command line: as TOML where it is TOML
 * (`20000`, `true`, `"text"`, `{a = 1}`), else as the text itself.
 */
export function parseSettingValue(text: string): unknown {
  const parsed = parseToml(`value = ${text}`);
  if (parsed.isErr()) return text;
  const {value, ...others} = parsed.value;
  return Object.keys(others).length === 0 ? value : text;
}

function parseNode(
  path: string,
  table: unknown,
): Result<SettingsNode, readonly Problem[]> {
  if (!isTable(table)) {
    const found = JSON.stringify(table);
    return Err([{path, found, expected: 'expected a table for each node'}]);
  }
  // The root is always a group and need not say so.
  const defaultKind = path === ROOT_PATH ? NodeKind.Group : undefined;
  const {kind = defaultKind, ...values} = table;
  const input = {kind, values};
  const parsed = settingsNodeSchema.safeParse(input);
  if (parsed.success) return Ok(parsed.data);
  const problems = toSettingsProblems(parsed.error, input);
  return Err(
    problems.map(problem => ({...problem, path: `${path} ${problem.path}`})),
  );
}

function describeTwice(path: string): Problem {
  const expected = 'expected one table for each node';
  return {path, found: 'a second table', expected};
}

function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function refuse(problems: readonly Problem[]): Err<Failure> {
  return Err(createFailure(FailureCode.SettingsInvalid, {problems}));
}
