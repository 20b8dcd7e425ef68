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
import type {CallResult, OperatorsCalls} from '../calls/index.js';
import {
  createUsageProblem,
  ProblemKind,
  type CtlProblem,
} from '../failures/index.js';
import {renderChanges} from '../output/index.js';
import type {Command, CommandResult} from './command.js';

const MAX_COPIES = 3;

/** Options of every command that changes the settings. */
export interface EditFlags {
  /** The edit loses to any edit after this revision. */
  readonly revision?: string;
  /** Who edits, for the history. */
  readonly by: string;
}

/**
 * Makes one edit. Without `--revision` and without a revision in the file
 * (`fileRevision`) it is made on the tree as it is read here, so that an edit
 * which races this one is seen and never overwritten.
 */
export function createEdit(
  edit: SettingsEdit,
  flags: EditFlags,
  fileRevision?: number,
): Command {
  return async calls => {
    const named = readRevision(flags.revision);
    if (named.isErr()) return named;
    const base = await calls.call('GET', 'settings', settingsViewSchema);
    if (base.isErr()) return base;
    const request: EditRequest = {
      editId: createEditId(),
      by: flags.by,
      expectedRevision: named.value ?? fileRevision ?? base.value.revision,
      edits: [edit],
    };
    return makeEdit(calls, request, base.value);
  };
}

async function makeEdit(
  calls: OperatorsCalls,
  request: EditRequest,
  base: SettingsView,
): CommandResult {
  const answer = await sendEdit(calls, request);
  if (answer.isErr()) return Err(explainConflict(answer.error, request, base));
  const {revision, changes} = answer.value;
  const written =
    changes.length === 0
      ? `nothing to change at revision ${revision}`
      : `written as revision ${revision}\n${renderChanges(changes)}`;
  return Ok({data: answer.value, text: written});
}

/** Adds both sides' changes to a lost race. */
function explainConflict(
  problem: CtlProblem,
  request: EditRequest,
  base: SettingsView,
): CtlProblem {
  if (problem.kind !== ProblemKind.Refused) return problem;
  const {failure} = problem;
  if (failure.code !== FailureCode.SettingsConflict) return problem;
  const mine = listChanges(request, base);
  const theirs = failure.newer ?? [];
  return {kind: ProblemKind.Conflict, failure, mine, theirs};
}

/** What the edit would have changed in the tree `base`. */
function listChanges(
  request: EditRequest,
  base: SettingsView,
): readonly SettingsChange[] {
  const before = new Map(Object.entries(base.nodes));
  return applyEdits(before, request.edits)
    .map(after => diffNodes(before, after))
    .unwrapOr([]);
}

/** A lost answer is asked for again: the edit's own id makes it one edit. */
async function sendEdit(
  calls: OperatorsCalls,
  body: EditRequest,
): CallResult<EditAnswer> {
  for (let copy = 1; ; copy += 1) {
    const answer = await calls.call(
      'POST',
      'settings/edits',
      editAnswerSchema,
      {body},
    );
    const lost =
      answer.isErr() &&
      answer.error.kind === ProblemKind.Unreachable &&
      answer.error.mayHaveRun;
    if (!lost || copy === MAX_COPIES) return answer;
  }
}

function readRevision(
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
