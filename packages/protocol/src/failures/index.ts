/** Typed refusals and failures. Each one states whether anything ran. */
import {z} from 'zod';
import type {FailureArguments} from './arguments.js';
import {failureCatalogue} from './catalogue.js';
import {FailureCode, RunStatus} from './codes.js';
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

/** Schema for a failure as sent to clients, operators and peers. */
export const failureSchema = z.object({
  code: z.enum(FailureCode),
  title: z.string(),
  message: z.string(),
  hint: z.string(),
  ran: z.enum(RunStatus),
  /** Whether retrying can never succeed. */
  final: z.boolean(),
  /** Delay before a retry, in milliseconds; absent if retrying cannot help. */
  retryAfterMs: z.number().int().nonnegative().optional(),
  /** For a settings conflict: the edits made since the expected revision. */
  newer: z.array(settingsRevisionSchema).optional(),
});

/** A refusal or failure. */
export type Failure = Readonly<z.infer<typeof failureSchema>>;

/** Values of one failure that extend or override its catalogue entry. */
export interface FailureDetails {
  readonly retryAfterMs?: number;
  readonly ran?: RunStatus;
  readonly newer?: readonly SettingsRevision[];
}

/** Creates a failure from its catalogue entry and message arguments. */
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

/** The HTTP status code of a response that consists of this failure. */
export function getHttpStatus(failure: Failure): number {
  return failureCatalogue[failure.code].status;
}
