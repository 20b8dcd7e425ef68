/** Settings travel from peer to peer, so that few ask the platform. */
import {z} from 'zod';

/** Asks for the settings tree when it is newer than the asker's. */
export const settingsQuerySchema = z.object({
  knownRevision: z.number().int().nonnegative(),
});

/** The whole tree at one revision, or nothing newer. */
export const settingsAnswerSchema = z.object({
  revision: z.number().int().nonnegative(),
  /** Node path to its own values; absent when there is nothing newer. */
  nodes: z.record(z.string(), z.unknown()).optional(),
});

/** Asks for the settings tree when it is newer than the asker's. */
export type SettingsQuery = Readonly<z.infer<typeof settingsQuerySchema>>;
/** The whole tree at one revision, or nothing newer. */
export type SettingsAnswer = Readonly<z.infer<typeof settingsAnswerSchema>>;
