/** Schemas for settings edits, as reported to operators. */
import {z} from 'zod';

/** Schema for the change of one key of one node. */
export const settingsChangeSchema = z.object({
  /** Path of the node, for example `/pricing/tags`. */
  node: z.string(),
  /** Path of the key, for example `queue.max_waiting`, or `kind`. */
  key: z.string(),
  /** The node's own value before the edit; absent if it had none. */
  before: z.unknown().optional(),
  /** The node's own value after the edit; absent if it has none. */
  after: z.unknown().optional(),
});

/** Schema for an accepted edit. */
export const settingsRevisionSchema = z.object({
  revision: z.number().int().nonnegative(),
  /** Chosen by the editing client; identifies the edit if the reply is lost. */
  editId: z.string(),
  /** The operator who made the edit. */
  by: z.string(),
  /** Time of the edit, as an ISO 8601 date and time in UTC. */
  at: z.string(),
  changes: z.array(settingsChangeSchema),
  /** Number of changes left out of `changes` because there were too many. */
  omitted: z.number().int().nonnegative().default(0),
});

/** The change of one key of one node. */
export type SettingsChange = Readonly<z.infer<typeof settingsChangeSchema>>;

/** An accepted edit of the settings. */
export type SettingsRevision = Readonly<z.infer<typeof settingsRevisionSchema>>;
