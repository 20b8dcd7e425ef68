/** Commands that change the settings. */
import {randomUUID} from 'node:crypto';
import {
  ChangeKind,
  editAnswerSchema,
  settingsDiffSchema,
  settingsViewSchema,
  type EditAnswer,
  type EditRequest,
  type SettingsChange,
  type SettingsView,
} from '@goldcrestpier/operators';
import {FailureCode} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import type {CallResult, OperatorsCalls} from '../calls/index.js';
import {
  createUsageProblem,
  ProblemKind,
  type CtlProblem,
} from '../failures/index.js';
import type {Command, CommandResult} from './command.js';
import {listDifferences} from './differences.js';

const MAX_COPIES = 3;

/** Options of every command that changes the settings. */
export interface EditFlags {
  /** The edit loses to any edit after this revision. */
  readonly revision?: string;
  /** Who edits, for the history. */
  readonly by: string;
}

/**
 * Makes one change. Without `--revision` it is made on the tree as it is read
 * here, so that an edit which races this one is seen and never overwritten.
 */
export function createEdit(change: SettingsChange, flags: EditFlags): Command {
  return async calls => {
    const named = readRevision(flags.revision);
    if (named.isErr()) return named;
    const base = await calls.call('GET', 'settings', settingsViewSchema);
    if (base.isErr()) return base;
    const request: EditRequest = {
      id: randomUUID(),
      by: flags.by,
      expectedRevision: named.value ?? base.value.revision,
      changes: [change],
    };
    return edit(calls, request, change, base.value);
  };
}

async function edit(
  calls: OperatorsCalls,
  request: EditRequest,
  change: SettingsChange,
  base: SettingsView,
): CommandResult {
  const answer = await sendEdit(calls, request);
  if (answer.isOk()) {
    const {revision} = answer.value;
    return Ok({data: answer.value, text: `written as revision ${revision}`});
  }
  const problem = answer.error;
  if (
    problem.kind !== ProblemKind.Refused ||
    problem.failure.code !== FailureCode.SettingsConflict
  ) {
    return answer;
  }
  const from = String(request.expectedRevision);
  const theirs = await calls.call('GET', 'settings/diff', settingsDiffSchema, {
    query: {from},
  });
  return Err({
    kind: ProblemKind.Conflict,
    failure: problem.failure,
    mine: listDifferences(change, base),
    theirs: theirs.isOk() ? theirs.value.differences : undefined,
  });
}

/** A lost answer is asked for again: the edit's own id makes it one edit. */
async function sendEdit(
  calls: OperatorsCalls,
  request: EditRequest,
): CallResult<EditAnswer> {
  for (let copy = 1; ; copy += 1) {
    const answer = await calls.call(
      'POST',
      'settings/edits',
      editAnswerSchema,
      {body: request},
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

/** `settings set NODE KEY VALUE`; VALUE is JSON, or else text. */
export function readValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** The change of `settings apply`. */
export function createApplyChange(
  document: Record<string, unknown>,
): SettingsChange {
  return {kind: ChangeKind.Apply, document};
}
