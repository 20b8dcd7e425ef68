import type {Problem} from './arguments.js';

/** All problems in one line, for a failure's message. */
export function listProblems(problems: readonly Problem[]): string {
  return problems
    .map(({path, found, expected}) => `${path}: found ${found}, ${expected}`)
    .join('; ');
}
