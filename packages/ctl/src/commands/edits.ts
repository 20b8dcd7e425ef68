/** Commands that change the settings. */
import {
  editAnswerSchema,
  settingsViewSchema,
  type EditAnswer,
  type EditRequest,
  type SettingsView,
} from '@goldcrestpier/operators';
import {FailureCode, type SettingsChange} from '@goldcrestpier/protocol';
import {
  applyEdits,
  createEditId,
  diffNodes,
  type SettingsEdit,
} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import type {CallResult, OperatorsClient} from '../calls/index.js';
import {
  createUsageProblem,
  ProblemKind,
  type CtlProblem,
} from '../failures/index.js';
import {renderChanges} from '../output/index.js';
import type {Command, CommandResult} from './command.js';

/** Including retries after a lost response. */
const MAX_SENDS = 3;

/** Options of every command that changes the settings. */
export interface EditFlags {
  /** The edit fails if the settings are newer than this revision. */
  readonly revision?: string;
  /** Author of the edit, shown in the history. */
  readonly by: string;
}

/**
 * Creates a command that makes one edit. Unless `--revision` or the file
 * (`fileRevision`) names a revision, the edit is based on the tree that the
 * command reads first, so that a concurrent edit causes a conflict and is not
 * overwritten.
 */
export function createEditCommand(
  edit: SettingsEdit,
  flags: EditFlags,
  fileRevision?: number,
): Command {
  return async client => {
    const requested = parseRevision(flags.revision);
    if (requested.isErr()) return requested;
    const base = await client.call('GET', 'settings', settingsViewSchema);
    if (base.isErr()) return base;
    const request: EditRequest = {
      editId: createEditId(),
      by: flags.by,
      expectedRevision: requested.value ?? fileRevision ?? base.value.revision,
      edits: [edit],
    };
    return submitEdit(client, request, base.value);
  };
}

async function submitEdit(
  client: OperatorsClient,
  request: EditRequest,
  base: SettingsView,
): CommandResult {
  const response = await sendEditWithRetries(client, request);
  if (response.isErr())
    return Err(toConflictProblem(response.error, request, base));
  const {revision, changes} = response.value;
  const text =
    changes.length === 0
      ? `nothing to change at revision ${revision}`
      : `written as revision ${revision}\n${renderChanges(changes)}`;
  return Ok({data: response.value, text});
}

/** Adds the changes of both edits to a conflict. */
function toConflictProblem(
  problem: CtlProblem,
  request: EditRequest,
  base: SettingsView,
): CtlProblem {
  if (problem.kind !== ProblemKind.Refused) return problem;
  const {failure} = problem;
  if (failure.code !== FailureCode.SettingsConflict) return problem;
  const mine = previewChanges(request, base);
  const theirs = failure.newer ?? [];
  return {kind: ProblemKind.Conflict, failure, mine, theirs};
}

/** Returns the changes that the edit would have made to the tree `base`. */
function previewChanges(
  request: EditRequest,
  base: SettingsView,
): readonly SettingsChange[] {
  const before = new Map(Object.entries(base.nodes));
  return applyEdits(before, request.edits)
    .map(after => diffNodes(before, after))
    .unwrapOr([]);
}

/** Resends the edit if a response is lost; its id makes it idempotent. */
async function sendEditWithRetries(
  client: OperatorsClient,
  body: EditRequest,
): CallResult<EditAnswer> {
  for (let sends = 1; ; sends += 1) {
    const response = await client.call(
      'POST',
      'settings/edits',
      editAnswerSchema,
      {body},
    );
    const isResponseLost =
      response.isErr() &&
      response.error.kind === ProblemKind.Unreachable &&
      response.error.mayHaveRun;
    if (!isResponseLost || sends === MAX_SENDS) return response;
  }
}

function parseRevision(
  text: string | undefined,
): Result<number | undefined, CtlProblem> {
  if (text === undefined) return Ok(undefined);
  if (/^[0-9]{1,15}$/.test(text)) return Ok(Number(text));
  return Err(
    createUsageProblem(
      '--revision',
      JSON.stringify(text),
      'expected the number of a revision',
      'Take it from "goldcrestpierctl settings get".',
    ),
  );
}
