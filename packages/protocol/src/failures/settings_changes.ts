/** What an edit of the settings changed, as operators see it. */
import {z} from 'zod';

/** One key of one node that an edit changed. */
export const settingsChangeSchema = z.object({
  /** Path of the node, for example `/pricing/tags`. */
  node: z.string(),
  /** Path of the key, for example `queue.max_waiting`, or `kind`. */
  key: z.string(),
  /** The node's own value before; absent when it had none. */
  before: z.unknown().optional(),
  /** The node's own value after; absent when it has none. */
  after: z.unknown().optional(),
});

/** One accepted edit. */
export const settingsRevisionSchema = z.object({
  revision: z.number().int().nonnegative(),
  /** Drawn by who made the edit; names it when an answer was lost. */
  editId: z.string(),
  /** The operator who made it. */
  by: z.string(),
  /** When, as an ISO 8601 date and time in UTC. */
  at: z.string(),
  changes: z.array(settingsChangeSchema),
  /** Changes that are not listed, because there were too many. */
  omitted: z.number().int().nonnegative().default(0),
});

/** One key of one node that an edit changed. */
export type SettingsChange = Readonly<z.infer<typeof settingsChangeSchema>>;

/** One accepted edit. */
export type SettingsRevision = Readonly<z.infer<typeof settingsRevisionSchema>>;
