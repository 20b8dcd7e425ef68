/** Converts schema validation errors into problems that name each key. */
import {toProblems, type Problem} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** Matches keys whose values are secret and must not be shown. */
const SECRET_KEY = /(?:^|\.)token$/;

/** Like `toProblems`, but names each unknown key and redacts secrets. */
export function toSettingsProblems(
  error: z.ZodError,
  input: unknown,
): Problem[] {
  const reworded = new z.ZodError(error.issues.flatMap(rewordIssue));
  return toProblems(reworded, input).map(redactSecret);
}

/** Reports each unknown key by itself and words the issue in terms of TOML. */
function rewordIssue(issue: z.core.$ZodIssue): z.core.$ZodIssue[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      ...issue,
      keys: [key],
      path: [...issue.path, key],
      message: 'expected no such key',
    }));
  }
  if (issue.code === 'invalid_key') {
    return [{...issue, message: issue.issues[0]?.message ?? issue.message}];
  }
  const isTable =
    issue.code === 'invalid_type' &&
    (issue.expected === 'object' || issue.expected === 'record');
  return [isTable ? {...issue, message: 'expected a table'} : issue];
}

function redactSecret(problem: Problem): Problem {
  if (!SECRET_KEY.test(problem.path) || problem.found === 'nothing') {
    return problem;
  }
  return {...problem, found: 'a value that is not shown'};
}
