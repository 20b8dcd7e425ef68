/** Command-line options. */
import type {TargetFlags} from '../calls/index.js';

const DEFAULT_AUTHOR = 'operator';

/** The options of all commands, as parsed from the command line. */
export interface CtlFlags extends TargetFlags {
  readonly json: boolean;
  readonly toml: boolean;
  readonly by: string;
  readonly revision?: string;
  readonly limit?: string;
  readonly team?: string;
  readonly state?: string;
}

/** Options that are parsed as strings even if their value is a number. */
export const STRING_OPTIONS: readonly string[] = [
  'instance',
  'token-file',
  'by',
  'revision',
  'limit',
  'team',
  'state',
];

/** Returns the author of edits without `--by`: the user name if it is known. */
export function getDefaultAuthor(environment: NodeJS.ProcessEnv): string {
  return environment['USER'] || environment['LOGNAME'] || DEFAULT_AUTHOR;
}
