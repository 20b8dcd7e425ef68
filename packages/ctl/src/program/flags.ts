/** The options of all commands. */
import type {TargetFlags} from '../calls/index.js';

const UNNAMED_OPERATOR = 'operator';

/** The options of all commands, as given. */
export interface CtlFlags extends TargetFlags {
  readonly json: boolean;
  readonly toml: boolean;
  readonly by: string;
  readonly revision?: string;
  readonly limit?: string;
  readonly team?: string;
  readonly state?: string;
}

/** Options whose values are text, also where they look like numbers. */
export const TEXT_OPTIONS: readonly string[] = [
  'instance',
  'token-file',
  'by',
  'revision',
  'limit',
  'team',
  'state',
];

/** Who edits when nobody is named. */
export function readUserName(environment: NodeJS.ProcessEnv): string {
  return environment['USER'] || environment['LOGNAME'] || UNNAMED_OPERATOR;
}
