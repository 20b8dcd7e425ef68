/** Edits of the settings tree, and how each changes the nodes. */
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
import {isAtOrBelow, ROOT_PATH, normalizeNodePath} from '../tree/path.js';
import {NodeKind} from '../tree/schema.js';

const EDIT_ID_BYTES = 12;
const MAX_EDIT_ID_CHARACTERS = 64;
const MAX_NAME_CHARACTERS = 100;
const MAX_EDITS = 1_000;

/** Kinds of edits. */
export enum EditKind {
  /** Overrides one key of one node. Setting the key `kind` adds the node. */
  Set = 'set',
  /** Removes the override of one key, so that the node inherits it again. */
  Unset = 'unset',
  AddNode = 'add_node',
  /** Removes a node and all its descendants. */
  RemoveNode = 'remove_node',
  /** Replaces the whole tree. */
  Apply = 'apply',
}

const KIND_MESSAGE = 'expected group, service or workers';
const kindSchema = z.enum(NodeKind, KIND_MESSAGE);
const pathSchema = z.string('expected the path of a node');
const keySchema = z.string('expected a key').min(1, 'expected a key');

/** Schema of one edit. */
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

/** Schema of a request whose edits are accepted together or not at all. */
export const editRequestSchema = z.strictObject({
  /** Idempotency key: generated once, and reused when the request is resent. */
  editId: z
    .string('expected an edit id')
    .regex(/^[a-z0-9-]+$/, 'expected a-z, 0-9 and -')
    .max(MAX_EDIT_ID_CHARACTERS, 'expected fewer characters'),
  /** Name of the operator. */
  by: z
    .string('expected the name of the operator')
    .min(1, 'expected a name')
    .max(MAX_NAME_CHARACTERS, 'expected a shorter name'),
  /** Revision on which the edits are based; the latest if omitted. */
  expectedRevision: z.number().int().nonnegative().optional(),
  edits: z
    .array(settingsEditSchema)
    .min(1, 'expected one edit or more')
    .max(MAX_EDITS, 'expected fewer edits'),
});

/** One edit of the settings tree. */
export type SettingsEdit = Readonly<z.infer<typeof settingsEditSchema>>;
/** A request whose edits are accepted together or not at all. */
export type EditRequest = Readonly<z.infer<typeof editRequestSchema>>;

/** Generates a random edit id, in hexadecimal. */
export function createEditId(): string {
  return randomBytes(EDIT_ID_BYTES).toString('hex');
}

/** Returns the nodes after all edits, without validating their values. */
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
      return setKey(nodes, normalizeNodePath(edit.node), edit.key, edit.value);
    case EditKind.Unset:
      return updateNode(
        nodes,
        normalizeNodePath(edit.node),
        ({kind, values}) => ({
          kind,
          values: unsetValue(values, parseKey(edit.key)),
        }),
      );
    case EditKind.AddNode:
      return addNode(nodes, normalizeNodePath(edit.node), edit.nodeKind);
    case EditKind.RemoveNode:
      return removeNode(nodes, normalizeNodePath(edit.node));
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
    return rejectInvalid(`${path} ${key}`, JSON.stringify(value), KIND_MESSAGE);
  }
  return updateNode(nodes, path, node => ({
    kind: node.kind,
    values: setValue(node.values, parseKey(key), value),
  }));
}

function updateNode(
  nodes: SettingsNodes,
  path: string,
  update: (node: SettingsNode) => SettingsNode,
): Result<SettingsNodes, Failure> {
  const node = nodes.get(path);
  if (node === undefined) return rejectUnknownNode(path);
  return Ok(new Map(nodes).set(path, update(node)));
}

function addNode(
  nodes: SettingsNodes,
  path: string,
  kind: NodeKind,
): Result<SettingsNodes, Failure> {
  const existing = nodes.get(path);
  if (existing?.kind === kind) return Ok(nodes);
  if (existing !== undefined) {
    return rejectInvalid(
      path,
      existing.kind,
      'expected no other node of this path',
    );
  }
  return Ok(new Map(nodes).set(path, {kind, values: {}}));
}

function removeNode(
  nodes: SettingsNodes,
  path: string,
): Result<SettingsNodes, Failure> {
  if (!nodes.has(path)) return rejectUnknownNode(path);
  if (path === ROOT_PATH) {
    return rejectInvalid(path, 'the root', 'expected a node below the root');
  }
  const remaining = [...nodes].filter(
    ([nodePath]) => !isAtOrBelow(nodePath, path),
  );
  return Ok(new Map(remaining));
}

function rejectUnknownNode(node: string): Err<Failure> {
  return Err(createFailure(FailureCode.SettingsUnknownNode, {node}));
}

function rejectInvalid(
  path: string,
  found: string,
  expected: string,
): Err<Failure> {
  const problems = [{path, found, expected}];
  return Err(createFailure(FailureCode.SettingsInvalid, {problems}));
}
