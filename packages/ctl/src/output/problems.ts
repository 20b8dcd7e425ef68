/** Problems as people and as programs read them. */
import type {Failure, SettingsRevision} from '@goldcrestpier/protocol';
import {ProblemKind, type CtlProblem} from '../failures/index.js';
import {renderChanges} from './values.js';

/** A problem for people: what, where, found, expected, and what to do. */
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
        ...problem.theirs.map(renderTheirs),
        '',
      ].join('\n');
  }
}

/** A problem for programs. */
export function describeProblem(problem: CtlProblem): unknown {
  return {error: problem};
}

function renderFailure({code, title, message, hint}: Failure): string {
  return `error: ${title} (${code})\n  ${message}\nhint: ${hint}\n`;
}

function renderTheirs(edit: SettingsRevision): string {
  const {revision, by, at, changes, omitted} = edit;
  const table = renderChanges(changes, omitted);
  return `\ntheirs (revision ${revision}, by ${by}, ${at}):\n${table}`;
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
