/** Reads the TOML file of `settings apply`. */
import {readFileSync} from 'node:fs';
import {parseDocument, type SettingsDocument} from '@goldcrestpier/settings';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  createUsageProblem,
  ProblemKind,
  type CtlProblem,
} from '../failures/index.js';

/** Reads and parses a TOML file with a whole settings tree. */
export function readDocument(
  file: string,
): Result<SettingsDocument, CtlProblem> {
  return readFileText(file).andThen(text =>
    parseDocument(text).mapErr(failure => ({
      kind: ProblemKind.Refused,
      failure,
    })),
  );
}

function readFileText(file: string): Result<string, CtlProblem> {
  try {
    return Ok(readFileSync(file, 'utf8'));
  } catch (cause) {
    const {code = 'no file'} = cause as NodeJS.ErrnoException;
    return Err(
      createUsageProblem(
        'FILE',
        `${code} at ${file}`,
        'expected a readable TOML file',
        'Write one with "goldcrestpierctl settings get --toml".',
      ),
    );
  }
}
