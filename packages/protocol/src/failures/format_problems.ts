import type {Problem} from './arguments.js';

/** Formats all problems in one line, for use in a failure's message. */
export function formatProblems(problems: readonly Problem[]): string {
  return problems
    .map(({path, found, expected}) => `${path}: found ${found}, ${expected}`)
    .join('; ');
}
