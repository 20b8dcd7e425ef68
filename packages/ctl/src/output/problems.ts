/** Formats errors as text, or as JSON for programs. */
import type {Failure, SettingsRevision} from '@goldcrestpier/protocol';
import {ProblemKind, type CtlProblem} from '../failures/index.js';
import {renderChanges} from './values.js';

/** Renders a problem as text: what was found and expected, and a hint. */
export function renderProblem(problem: CtlProblem): string {
  switch (problem.kind) {
    case ProblemKind.Usage: {
      const {path, found, expected} = problem.problem;
      return `error: ${path}: found ${found}, ${expected}\nhint: ${problem.hint}\n`;
    }
    case ProblemKind.Unreachable:
      return renderUnreachable(
        problem.instance,
        problem.reason,
        problem.mayHaveRun,
      );
    case ProblemKind.Refused:
      return renderFailure(problem.failure);
    case ProblemKind.Conflict:
      return [
        renderFailure(problem.failure),
        'mine (not written):',
        renderChanges(problem.mine),
        ...problem.theirs.map(renderNewerEdit),
        '',
      ].join('\n');
  }
}

/** Returns the JSON value that is printed for a problem with `--json`. */
export function toJsonProblem(problem: CtlProblem): unknown {
  return {error: problem};
}

function renderFailure({code, title, message, hint}: Failure): string {
  return `error: ${title} (${code})\n  ${message}\nhint: ${hint}\n`;
}

function renderNewerEdit(edit: SettingsRevision): string {
  const {revision, by, at, changes, omitted} = edit;
  const rendered = renderChanges(changes, omitted);
  return `\ntheirs (revision ${revision}, by ${by}, ${at}):\n${rendered}`;
}

function renderUnreachable(
  instance: string,
  reason: string,
  mayHaveRun: boolean,
): string {
  const outcome = mayHaveRun
    ? 'The request may have been carried out; look before you repeat it.'
    : 'Nothing was carried out; check the address or name another instance.';
  return `error: no answer from ${instance}: ${reason}\nhint: ${outcome}\n`;
}
