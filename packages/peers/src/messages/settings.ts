/** Settings passed between peers, so that few instances query the platform. */
import {z} from 'zod';

/** Requests the settings tree if it is newer than the known revision. */
export const settingsQuerySchema = z.object({
  knownRevision: z.number().int().nonnegative(),
});

/** The whole settings tree at one revision, if newer than the known one. */
export const settingsAnswerSchema = z.object({
  revision: z.number().int().nonnegative(),
  /** Values set on each node, by node path; absent if nothing is newer. */
  nodes: z.record(z.string(), z.unknown()).optional(),
});

/** Requests the settings tree if it is newer than the known revision. */
export type SettingsQuery = Readonly<z.infer<typeof settingsQuerySchema>>;
/** The whole settings tree at one revision, if newer than the known one. */
export type SettingsAnswer = Readonly<z.infer<typeof settingsAnswerSchema>>;
