/** Reads the file of `settings apply`. */
import {readFileSync} from 'node:fs';
import {parse, TomlError} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results-es';
import {createUsageProblem, type CtlProblem} from '../failures/index.js';

/** Reads a TOML file with a whole tree of settings. */
export function readDocument(
  file: string,
): Result<Record<string, unknown>, CtlProblem> {
  try {
    return Ok(parse(readFileSync(file, 'utf8')));
  } catch (cause) {
    return Err(describeUnread(file, cause));
  }
}

function describeUnread(file: string, cause: unknown): CtlProblem {
  if (cause instanceof TomlError) {
    return createUsageProblem(
      `${file}, line ${cause.line}, column ${cause.column}`,
      'text that is not TOML',
      'expected TOML',
      'Correct the file; nothing was changed.',
    );
  }
  const {code} = cause as NodeJS.ErrnoException;
  if (code === undefined) throw cause;
  return createUsageProblem(
    'FILE',
    `${code} at ${file}`,
    'expected a readable TOML file',
    'Name a file with a whole tree of settings.',
  );
}
