/** Reading and editing the settings tree. */
import {
  settingsChangeSchema,
  settingsRevisionSchema,
} from '@goldcrestpier/protocol';
import {settingsNodeSchema} from '@goldcrestpier/settings';
import {z} from 'zod';

export {editRequestSchema, type EditRequest} from '@goldcrestpier/settings';

const MAX_PATH_CHARACTERS = 1_200;

/** A revision of the whole tree; rises with each edit. */
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

/** The accepted edit. */
export const editAnswerSchema = z.object({
  revision: revisionSchema,
  /** Every key that it changed. */
  changes: z.array(settingsChangeSchema),
  /** Whether this edit id had been accepted before. */
  repeated: z.boolean(),
});

/** What some nodes override, at one revision. */
export const settingsViewSchema = z.object({
  revision: revisionSchema,
  /** Node path to its kind and what it overrides. */
  nodes: z.record(z.string(), settingsNodeSchema),
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

/** What changed between two revisions. */
export const settingsDiffSchema = z.object({
  from: revisionSchema,
  to: revisionSchema,
  changes: z.array(settingsChangeSchema),
  /** Changes that the history did not list, because there were too many. */
  omitted: z.number().int().nonnegative(),
});

/** The newest edits, newest first. */
export const settingsHistorySchema = z.object({
  edits: z.array(settingsRevisionSchema),
});

/** The accepted edit. */
export type EditAnswer = Readonly<z.infer<typeof editAnswerSchema>>;
/** What some nodes override, at one revision. */
export type SettingsView = Readonly<z.infer<typeof settingsViewSchema>>;
/** Every value in force at one node, and where it comes from. */
export type EffectiveView = Readonly<z.infer<typeof effectiveViewSchema>>;
/** What changed between two revisions. */
export type SettingsDiff = Readonly<z.infer<typeof settingsDiffSchema>>;
/** The newest edits, newest first. */
export type SettingsHistory = Readonly<z.infer<typeof settingsHistorySchema>>;
