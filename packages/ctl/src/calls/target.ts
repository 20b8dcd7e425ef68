/** Address and token of the operators' listener that commands are sent to. */
import {readFileSync} from 'node:fs';
import {Err, Ok, type Result} from 'ts-results-es';
import {createUsageProblem, type CtlProblem} from '../failures/index.js';

const INSTANCE_VARIABLE = 'GOLDCRESTPIER_INSTANCE';
const TOKEN_FILE_VARIABLE = 'GOLDCRESTPIER_TOKEN_FILE';
/** Printable ASCII characters, which are valid in an HTTP header. */
const TOKEN_PATTERN = /^[\x20-\x7e]+$/;

/** Address and token of the operators' listener that commands are sent to. */
export interface Target {
  /** Origin of the operators' listener, such as `http://host:port`. */
  readonly origin: string;
  readonly token: string;
}

/** Options of every command that select the target. */
export interface TargetFlags {
  readonly instance?: string;
  readonly 'token-file'?: string;
}

/** Reads the target from the options, or else from the environment. */
export function resolveTarget(
  flags: TargetFlags,
  environment: NodeJS.ProcessEnv,
): Result<Target, CtlProblem> {
  const origin = parseOrigin(flags.instance ?? environment[INSTANCE_VARIABLE]);
  if (origin.isErr()) return origin;
  const file = flags['token-file'] ?? environment[TOKEN_FILE_VARIABLE];
  return readToken(file).map(token => ({origin: origin.value, token}));
}

function parseOrigin(text: string | undefined): Result<string, CtlProblem> {
  const url = URL.canParse(text ?? '') ? new URL(text ?? '') : undefined;
  if (url?.protocol === 'http:' || url?.protocol === 'https:') {
    return Ok(url.origin);
  }
  return Err(
    createUsageProblem(
      '--instance',
      text === undefined ? 'nothing' : JSON.stringify(text),
      'expected the address of an operators\' listener, "http://host:port"',
      `Name it with --instance or in ${INSTANCE_VARIABLE}.`,
    ),
  );
}

function readToken(file: string | undefined): Result<string, CtlProblem> {
  const hint = `Name it with --token-file or in ${TOKEN_FILE_VARIABLE}.`;
  const expected = "expected a file with the operators' token";
  if (file === undefined) {
    return Err(createUsageProblem('--token-file', 'nothing', expected, hint));
  }
  try {
    const token = readFileSync(file, 'utf8').trim();
    if (TOKEN_PATTERN.test(token)) return Ok(token);
    const found =
      token === '' ? `the empty file ${file}` : `other text in ${file}`;
    return Err(createUsageProblem('--token-file', found, expected, hint));
  } catch (cause) {
    const {code} = cause as NodeJS.ErrnoException;
    const found = `${code} at ${file}`;
    return Err(createUsageProblem('--token-file', found, expected, hint));
  }
}
