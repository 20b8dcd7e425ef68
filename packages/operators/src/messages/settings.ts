/** Reading and editing the settings tree. */
import {keySchema} from '@goldcrestpier/protocol';
import {z} from 'zod';

const MAX_CHANGES = 1_000;
const MAX_NAME_CHARACTERS = 128;
const MAX_PATH_CHARACTERS = 1_024;

/** A revision of the whole tree; rises with each edit. */
export const revisionSchema = z
  .number('expected a revision')
  .int('expected a whole number')
  .nonnegative('expected 0 or more');

/** The path of a node; the empty path is the root. */
export const nodePathSchema = z
  .string('expected the path of a node')
  .max(
    MAX_PATH_CHARACTERS,
    `expected ${MAX_PATH_CHARACTERS} characters at most`,
  );

const settingKeySchema = z
  .string('expected a key such as "retry.budgetShare"')
  .min(1, 'expected a key such as "retry.budgetShare"')
  .max(
    MAX_PATH_CHARACTERS,
    `expected ${MAX_PATH_CHARACTERS} characters at most`,
  );

/** What one change of an edit does. */
export enum ChangeKind {
  Set = 'set',
  Unset = 'unset',
  Remove = 'remove',
  Apply = 'apply',
}

/** One change of an edit. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal(ChangeKind.Set),
    node: nodePathSchema,
    key: settingKeySchema,
    value: z.unknown(),
  }),
  z.strictObject({
    kind: z.literal(ChangeKind.Unset),
    node: nodePathSchema,
    key: settingKeySchema,
  }),
  /** Removes a node with all below it. */
  z.strictObject({kind: z.literal(ChangeKind.Remove), node: nodePathSchema}),
  /** Makes the tree equal to a whole document: node path to own values. */
  z.strictObject({
    kind: z.literal(ChangeKind.Apply),
    document: z.record(z.string(), z.unknown(), 'expected a table of nodes'),
  }),
]);

/** An edit, checked and written whole or not at all. */
export const editRequestSchema = z.strictObject({
  /** Names the edit, so that a repeated one is recognised. */
  id: keySchema,
  /** Who edits, for the history. */
  by: z
    .string('expected a name')
    .min(1, 'expected a name')
    .max(
      MAX_NAME_CHARACTERS,
      `expected ${MAX_NAME_CHARACTERS} characters at most`,
    ),
  /** The edit loses to any edit after this revision. */
  expectedRevision: revisionSchema.optional(),
  changes: z
    .array(changeSchema, 'expected a list of changes')
    .min(1, 'expected at least one change')
    .max(MAX_CHANGES, `expected ${MAX_CHANGES} changes at most`),
});

/** The accepted edit. */
export const editAnswerSchema = z.object({
  id: z.string(),
  revision: revisionSchema,
});

/** The own values of some nodes at one revision. */
export const settingsViewSchema = z.object({
  revision: revisionSchema,
  /** Node path to its own values. */
  nodes: z.record(z.string(), z.unknown()),
});

/** Every value in force at one node, and the node that each comes from. */
export const effectiveViewSchema = z.object({
  revision: revisionSchema,
  node: z.string(),
  values: z.array(
    z.object({
      key: z.string(),
      value: z.unknown(),
      /** Path of the node that sets it; absent for a default. */
      from: z.string().optional(),
    }),
  ),
});

/** One key that differs between two revisions. */
export const differenceSchema = z.object({
  node: z.string(),
  key: z.string(),
  /** Absent where the key was not set. */
  before: z.unknown().optional(),
  after: z.unknown().optional(),
});

/** What changed between two revisions. */
export const settingsDiffSchema = z.object({
  from: revisionSchema,
  to: revisionSchema,
  differences: z.array(differenceSchema),
});

/** The newest edits, newest first. */
export const settingsHistorySchema = z.object({
  edits: z.array(
    z.object({
      revision: revisionSchema,
      id: z.string(),
      by: z.string(),
      /** When it was written, in milliseconds since 1970. */
      at: z.number(),
      /** What it changed, one short line each. */
      changes: z.array(z.string()),
    }),
  ),
});

/** One change of an edit. */
export type SettingsChange = Readonly<z.infer<typeof changeSchema>>;
/** An edit, checked and written whole or not at all. */
export type EditRequest = Readonly<z.infer<typeof editRequestSchema>>;
/** The accepted edit. */
export type EditAnswer = Readonly<z.infer<typeof editAnswerSchema>>;
/** The own values of some nodes at one revision. */
export type SettingsView = Readonly<z.infer<typeof settingsViewSchema>>;
/** Every value in force at one node, and where it comes from. */
export type EffectiveView = Readonly<z.infer<typeof effectiveViewSchema>>;
/** One key that differs between two revisions. */
export type SettingsDifference = Readonly<z.infer<typeof differenceSchema>>;
/** What changed between two revisions. */
export type SettingsDiff = Readonly<z.infer<typeof settingsDiffSchema>>;
/** The newest edits, newest first. */
export type SettingsHistory = Readonly<z.infer<typeof settingsHistorySchema>>;
