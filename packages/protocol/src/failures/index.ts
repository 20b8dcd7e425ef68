/** Every refusal and failure has a type, and says whether anything ran. */
import {z} from 'zod';
import type {FailureArguments} from './arguments.js';
import {failureCatalogue} from './catalogue.js';
import {FailureCode, Ran} from './codes.js';
import {
  settingsRevisionSchema,
  type SettingsRevision,
} from './settings_changes.js';

export * from './arguments.js';
export * from './codes.js';
export {failureCatalogue, type FailureEntry} from './catalogue.js';
export {toProblems} from './problems.js';
export {
  settingsChangeSchema,
  settingsRevisionSchema,
  type SettingsChange,
  type SettingsRevision,
} from './settings_changes.js';

/** The typed body that callers, operators and peers see. */
export const failureSchema = z.object({
  code: z.enum(FailureCode),
  title: z.string(),
  message: z.string(),
  hint: z.string(),
  ran: z.enum(Ran),
  /** Whether asking again can never help. */
  final: z.boolean(),
  /** When to come back, in milliseconds; absent when that cannot help. */
  retryAfterMs: z.number().int().nonnegative().optional(),
  /** The edits that came before, with a conflict of settings. */
  newer: z.array(settingsRevisionSchema).optional(),
});

/** One refusal or failure, as it travels. */
export type Failure = Readonly<z.infer<typeof failureSchema>>;

/** What one occurrence adds to or changes in the catalogue's entry. */
export interface FailureDetails {
  readonly retryAfterMs?: number;
  readonly ran?: Ran;
  readonly newer?: readonly SettingsRevision[];
}

/** Builds a failure from the catalogue. */
export function createFailure<Code extends FailureCode>(
  code: Code,
  args: FailureArguments[Code],
  details: FailureDetails = {},
): Failure {
  const entry = failureCatalogue[code];
  const failure: Failure = {
    code,
    title: entry.title,
    message: entry.message(args),
    hint: entry.hint,
    ran: details.ran ?? entry.ran,
    final: entry.final,
  };
  const {retryAfterMs, newer} = details;
  return {
    ...failure,
    ...(retryAfterMs === undefined
      ? {}
      : {retryAfterMs: Math.ceil(retryAfterMs)}),
    ...(newer === undefined ? {} : {newer: [...newer]}),
  };
}

/** The HTTP status of an answer that consists of this failure. */
export function statusOfFailure(failure: Failure): number {
  return failureCatalogue[failure.code].status;
}
