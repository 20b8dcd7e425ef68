/**
 * Reads and writes a settings tree as a TOML document. Each node is a table
 * named by the node's path, with the node's kind and the values it overrides.
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
import {ROOT_PATH, normalizeNodePath} from './path.js';
import {NodeKind} from './schema.js';
import type {SettingsTree} from './tree.js';

const REVISION_KEY = 'revision';

/** Parsed document. Its values are validated later, with the whole tree. */
export interface SettingsDocument {
  /** Revision from which the document was exported, if it contains one. */
  readonly revision: number | undefined;
  readonly nodes: SettingsNodes;
}

/** Formats a tree and its revision as TOML. */
export function formatDocument(tree: SettingsTree): string {
  const tables = [...tree.nodes].map(
    ([path, {kind, values}]) => [path, {kind, ...values}] as const,
  );
  return stringify({
    [REVISION_KEY]: tree.revision,
    ...Object.fromEntries(tables),
  });
}

/** Parses a TOML document; fails with a problem for each invalid entry. */
export function parseDocument(text: string): Result<SettingsDocument, Failure> {
  const toml = parseToml(text);
  return toml.isErr() ? rejectInvalid([toml.error]) : readDocument(toml.value);
}

function readDocument(document: NodeValues): Result<SettingsDocument, Failure> {
  const {[REVISION_KEY]: revision, ...tables} = document;
  const problems: Problem[] = [];
  const nodes = new Map<string, SettingsNode>();
  for (const [name, table] of Object.entries(tables)) {
    const path = normalizeNodePath(name);
    const node = parseNode(path, table);
    if (node.isErr()) problems.push(...node.error);
    else if (nodes.has(path)) problems.push(describeDuplicate(path));
    else nodes.set(path, node.value);
  }
  if (revision !== undefined && !isRevision(revision)) {
    problems.push({
      path: REVISION_KEY,
      found: JSON.stringify(revision),
      expected: 'expected a whole number, 0 or more',
    });
  }
  if (problems.length > 0) return rejectInvalid(problems);
  if (!nodes.has(ROOT_PATH)) {
    nodes.set(ROOT_PATH, {kind: NodeKind.Group, values: {}});
  }
  return Ok({revision: isRevision(revision) ? revision : undefined, nodes});
}

/**
 * Parses a value given on a command line: as TOML if it is valid TOML
 * (`20000`, `true`, `"text"`, `{a = 1}`), otherwise as a plain string.
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
  // The root is always a group, so its kind may be omitted.
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

function describeDuplicate(path: string): Problem {
  const expected = 'expected one table for each node';
  return {path, found: 'a second table', expected};
}

function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function rejectInvalid(problems: readonly Problem[]): Err<Failure> {
  return Err(createFailure(FailureCode.SettingsInvalid, {problems}));
}
