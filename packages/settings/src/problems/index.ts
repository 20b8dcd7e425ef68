/** Turns a schema's complaints on settings into problems that name each key. */
import {toProblems, type Problem} from '@goldcrestpier/protocol';
import {z} from 'zod';

/** Keys whose value must not be shown. */
const SECRET_KEY = /(?:^|\.)token$/;

/** Like `toProblems`, with each unknown key named and no secret shown. */
export function toSettingsProblems(
  error: z.ZodError,
  input: unknown,
): Problem[] {
  const named = new z.ZodError(error.issues.flatMap(sayPlainly));
  return toProblems(named, input).map(hideSecret);
}

/** Names each key and says what is expected in the file's own terms. */
function sayPlainly(issue: z.core.$ZodIssue): z.core.$ZodIssue[] {
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

function hideSecret(problem: Problem): Problem {
  if (!SECRET_KEY.test(problem.path) || problem.found === 'nothing') {
    return problem;
  }
  return {...problem, found: 'a value that is not shown'};
}
