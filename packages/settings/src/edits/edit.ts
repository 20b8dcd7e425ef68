/** The edits that operators make, and what each does to the nodes. */
import {randomBytes} from 'node:crypto';
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {KIND_KEY} from '../tree/diff.js';
import {parseKey, setValue, unsetValue} from '../tree/keys.js';
import {
  settingsNodeSchema,
  type SettingsNode,
  type SettingsNodes,
} from '../tree/node.js';
import {isAtOrBelow, ROOT_PATH, toNodePath} from '../tree/path.js';
import {NodeKind} from '../tree/schema.js';

const EDIT_ID_BYTES = 12;
const LONGEST_EDIT_ID_CHARACTERS = 64;
const LONGEST_NAME_CHARACTERS = 100;
const MOST_EDITS = 1_000;

/** The kinds of edit. */
export enum EditKind {
  /** Overrides one key at one node. With the key `kind` it adds the node. */
  Set = 'set',
  /** Lets one key of one node be inherited again. */
  Unset = 'unset',
  AddNode = 'add_node',
  /** Takes out a node and all below it. */
  RemoveNode = 'remove_node',
  /** Puts a whole tree in place of the present one. */
  Apply = 'apply',
}

const KIND_EXPECTED = 'expected group, service or workers';
const kindSchema = z.enum(NodeKind, KIND_EXPECTED);
const pathSchema = z.string('expected the path of a node');
const keySchema = z.string('expected a key').min(1, 'expected a key');

/** One edit. */
export const settingsEditSchema = z.discriminatedUnion(
  'kind',
  [
    z.strictObject({
      kind: z.literal(EditKind.Set),
      node: pathSchema,
      key: keySchema,
      value: z.unknown(),
    }),
    z.strictObject({
      kind: z.literal(EditKind.Unset),
      node: pathSchema,
      key: keySchema,
    }),
    z.strictObject({
      kind: z.literal(EditKind.AddNode),
      node: pathSchema,
      nodeKind: kindSchema,
    }),
    z.strictObject({
      kind: z.literal(EditKind.RemoveNode),
      node: pathSchema,
    }),
    z.strictObject({
      kind: z.literal(EditKind.Apply),
      nodes: z.record(z.string(), settingsNodeSchema),
    }),
  ],
  'expected a kind of edit',
);

/** Edits that are accepted together or not at all. */
export const editRequestSchema = z.strictObject({
  /** Drawn once for the edit and kept when it is sent again. */
  editId: z
    .string('expected an edit id')
    .regex(/^[a-z0-9-]+$/, 'expected a-z, 0-9 and -')
    .max(LONGEST_EDIT_ID_CHARACTERS, 'expected fewer characters'),
  /** The operator. */
  by: z
    .string('expected the name of the operator')
    .min(1, 'expected a name')
    .max(LONGEST_NAME_CHARACTERS, 'expected a shorter name'),
  /** The revision on which the edit was made; the newest unless given. */
  expectedRevision: z.number().int().nonnegative().optional(),
  edits: z
    .array(settingsEditSchema)
    .min(1, 'expected one edit or more')
    .max(MOST_EDITS, 'expected fewer edits'),
});

/** One edit. */
export type SettingsEdit = Readonly<z.infer<typeof settingsEditSchema>>;
/** Edits that are accepted together or not at all. */
export type EditRequest = Readonly<z.infer<typeof editRequestSchema>>;

/** Draws the id of a new edit. */
export function createEditId(): string {
  return randomBytes(EDIT_ID_BYTES).toString('hex');
}

/** The nodes after all edits. Does not check their values. */
export function applyEdits(
  nodes: SettingsNodes,
  edits: readonly SettingsEdit[],
): Result<SettingsNodes, Failure> {
  let result: Result<SettingsNodes, Failure> = Ok(nodes);
  for (const edit of edits) {
    result = result.andThen(before => applyEdit(before, edit));
  }
  return result;
}

function applyEdit(
  nodes: SettingsNodes,
  edit: SettingsEdit,
): Result<SettingsNodes, Failure> {
  switch (edit.kind) {
    case EditKind.Set:
      return setKey(nodes, toNodePath(edit.node), edit.key, edit.value);
    case EditKind.Unset:
      return changeNode(nodes, toNodePath(edit.node), ({kind, values}) => ({
        kind,
        values: unsetValue(values, parseKey(edit.key)),
      }));
    case EditKind.AddNode:
      return addNode(nodes, toNodePath(edit.node), edit.nodeKind);
    case EditKind.RemoveNode:
      return removeNode(nodes, toNodePath(edit.node));
    case EditKind.Apply:
      return Ok(new Map(Object.entries(edit.nodes)));
  }
}

function setKey(
  nodes: SettingsNodes,
  path: string,
  key: string,
  value: unknown,
): Result<SettingsNodes, Failure> {
  if (key === KIND_KEY) {
    const kind = kindSchema.safeParse(value);
    if (kind.success) return addNode(nodes, path, kind.data);
    return refuse(`${path} ${key}`, JSON.stringify(value), KIND_EXPECTED);
  }
  return changeNode(nodes, path, node => ({
    kind: node.kind,
    values: setValue(node.values, parseKey(key), value),
  }));
}

function changeNode(
  nodes: SettingsNodes,
  path: string,
  change: (node: SettingsNode) => SettingsNode,
): Result<SettingsNodes, Failure> {
  const node = nodes.get(path);
  if (node === undefined) return refuseUnknown(path);
  return Ok(new Map(nodes).set(path, change(node)));
}

function addNode(
  nodes: SettingsNodes,
  path: string,
  kind: NodeKind,
): Result<SettingsNodes, Failure> {
  const present = nodes.get(path);
  if (present?.kind === kind) return Ok(nodes);
  if (present !== undefined) {
    return refuse(path, present.kind, 'expected no other node of this path');
  }
  return Ok(new Map(nodes).set(path, {kind, values: {}}));
}

function removeNode(
  nodes: SettingsNodes,
  path: string,
): Result<SettingsNodes, Failure> {
  if (!nodes.has(path)) return refuseUnknown(path);
  if (path === ROOT_PATH) {
    return refuse(path, 'the root', 'expected a node below the root');
  }
  const left = [...nodes].filter(([each]) => !isAtOrBelow(each, path));
  return Ok(new Map(left));
}

function refuseUnknown(node: string): Err<Failure> {
  return Err(createFailure(FailureCode.SettingsUnknownNode, {node}));
}

function refuse(path: string, found: string, expected: string): Err<Failure> {
  const problems = [{path, found, expected}];
  return Err(createFailure(FailureCode.SettingsInvalid, {problems}));
}
