import {readFileSync} from 'node:fs';
import {
  createFailure,
  FailureCode,
  type Failure,
  type Problem,
} from '@goldcrestpier/protocol';
import {parse, TomlError} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results-es';
import {toSettingsProblems} from '../problems/index.js';
import {processSettingsSchema, type ProcessSettings} from './schema.js';

/** Reads and validates the TOML file at `path`, synchronously at startup. */
export function loadProcessSettings(
  path: string,
): Result<ProcessSettings, Failure> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (cause) {
    const found = (cause as NodeJS.ErrnoException).code ?? 'an unreadable file';
    return rejectInvalid([{path, found, expected: 'expected a readable file'}]);
  }
  return parseProcessSettings(text);
}

/** Parses and validates the text of a process's settings file. */
export function parseProcessSettings(
  text: string,
): Result<ProcessSettings, Failure> {
  const document = parseToml(text);
  if (document.isErr()) return rejectInvalid([document.error]);
  const parsed = processSettingsSchema.safeParse(document.value);
  if (parsed.success) return Ok(parsed.data);
  return rejectInvalid(toSettingsProblems(parsed.error, document.value));
}

/** Parses TOML. The problem gives the position and never quotes the text. */
export function parseToml(
  text: string,
): Result<Record<string, unknown>, Problem> {
  try {
    return Ok(parse(text));
  } catch (cause) {
    if (!(cause instanceof TomlError)) throw cause;
    return Err({
      path: `line ${cause.line}, column ${cause.column}`,
      found: 'text that is not TOML',
      expected: 'expected TOML',
    });
  }
}

function rejectInvalid(problems: readonly Problem[]): Err<Failure> {
  return Err(createFailure(FailureCode.SettingsInvalid, {problems}));
}
