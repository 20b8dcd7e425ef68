/** Schemas and types of the messages that read and edit the settings tree. */
import {
  settingsChangeSchema,
  settingsRevisionSchema,
} from '@goldcrestpier/protocol';
import {settingsNodeSchema} from '@goldcrestpier/settings';
import {z} from 'zod';

export {editRequestSchema, type EditRequest} from '@goldcrestpier/settings';

const MAX_PATH_CHARACTERS = 1_200;

/** Revision of the whole settings tree; increases with each edit. */
export const revisionSchema = z
  .number('expected a revision')
  .int('expected a whole number')
  .nonnegative('expected 0 or more');

/** The path of a node; `/` is the root. */
export const nodePathSchema = z
  .string('expected the path of a node')
  .max(
    MAX_PATH_CHARACTERS,
    `expected ${MAX_PATH_CHARACTERS} characters at most`,
  );

/** Response to an accepted edit. */
export const editAnswerSchema = z.object({
  revision: revisionSchema,
  /** Every key that the edit changed. */
  changes: z.array(settingsChangeSchema),
  /** Whether an edit with the same id was accepted before. */
  repeated: z.boolean(),
});

/** Values that one or more nodes override, at one revision. */
export const settingsViewSchema = z.object({
  revision: revisionSchema,
  /** Maps the path of a node to its kind and the values it overrides. */
  nodes: z.record(z.string(), settingsNodeSchema),
});

/** Every effective value at one node, with the node that sets it. */
export const effectiveViewSchema = z.object({
  revision: revisionSchema,
  node: z.string(),
  values: z.array(
    z.object({
      key: z.string(),
      value: z.unknown(),
      /** Path of the node that sets the value; absent for a default. */
      from: z.string().optional(),
    }),
  ),
});

/** Changes between two revisions. */
export const settingsDiffSchema = z.object({
  from: revisionSchema,
  to: revisionSchema,
  changes: z.array(settingsChangeSchema),
  /** Number of changes that the history omits because there were too many. */
  omitted: z.number().int().nonnegative(),
});

/** The most recent edits, newest first. */
export const settingsHistorySchema = z.object({
  edits: z.array(settingsRevisionSchema),
});

/** Response to an accepted edit. */
export type EditAnswer = Readonly<z.infer<typeof editAnswerSchema>>;
/** Values that one or more nodes override, at one revision. */
export type SettingsView = Readonly<z.infer<typeof settingsViewSchema>>;
/** Every effective value at one node, with the node that sets it. */
export type EffectiveView = Readonly<z.infer<typeof effectiveViewSchema>>;
/** Changes between two revisions. */
export type SettingsDiff = Readonly<z.infer<typeof settingsDiffSchema>>;
/** The most recent edits, newest first. */
export type SettingsHistory = Readonly<z.infer<typeof settingsHistorySchema>>;
