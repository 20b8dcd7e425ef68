/** Catalogue entries of refused requests. */
import {FailureCode, RunStatus} from './codes.js';
import type {FailureEntries} from './catalogue_entry.js';
import {formatProblems} from './format_problems.js';

type Code =
  | FailureCode.InvalidJson
  | FailureCode.InvalidRequest
  | FailureCode.BodyTooLarge
  | FailureCode.NotFound
  | FailureCode.MethodNotAllowed
  | FailureCode.Unauthorized
  | FailureCode.UnknownService
  | FailureCode.ImpossibleNeeds
  | FailureCode.QueueFull
  | FailureCode.QuotaExceeded
  | FailureCode.WaitTooLong
  | FailureCode.Leaving
  | FailureCode.PlatformUnavailable
  | FailureCode.StaleSubmission
  | FailureCode.AttemptClosed
  | FailureCode.TooManySessions
  | FailureCode.SessionFull;

/** Title, status, message and hint of each refusal. */
export const refusals: FailureEntries<Code> = {
  [FailureCode.InvalidJson]: {
    title: 'The body is not JSON',
    status: 400,
    ran: RunStatus.NotRun,
    final: true,
    message: ({reason}) => `The body could not be read as JSON: ${reason}.`,
    hint: 'Send one JSON object, encoded as UTF-8.',
  },
  [FailureCode.InvalidRequest]: {
    title: 'The request is not valid',
    status: 400,
    ran: RunStatus.NotRun,
    final: true,
    message: ({problems}) => `${formatProblems(problems)}.`,
    hint: 'Correct the named fields; docs/api.md lists them all.',
  },
  [FailureCode.BodyTooLarge]: {
    title: 'The body is too large',
    status: 413,
    ran: RunStatus.NotRun,
    final: true,
    message: ({limitBytes}) => `The body is larger than ${limitBytes} bytes.`,
    hint: 'Split the job, or send references in place of contents.',
  },
  [FailureCode.NotFound]: {
    title: 'No such resource',
    status: 404,
    ran: RunStatus.NotRun,
    final: true,
    message: ({what}) => `There is no ${what}.`,
    hint: 'Check the path against docs/api.md.',
  },
  [FailureCode.MethodNotAllowed]: {
    title: 'The method is not allowed here',
    status: 405,
    ran: RunStatus.NotRun,
    final: true,
    message: ({allowed}) => `Allowed are ${allowed.join(', ')}.`,
    hint: 'Use one of the allowed methods.',
  },
  [FailureCode.Unauthorized]: {
    title: 'The token is missing or wrong',
    status: 401,
    ran: RunStatus.NotRun,
    final: true,
    message: ({listener}) => `The ${listener} listener asks for its token.`,
    hint: 'Send "authorization: Bearer" with the token from the settings file.',
  },
  [FailureCode.UnknownService]: {
    title: 'The service is not known',
    status: 422,
    ran: RunStatus.NotRun,
    final: true,
    message: ({service}) => `No service "${service}" is in the settings.`,
    hint: 'Check the name, or have an operator add the service.',
  },
  [FailureCode.ImpossibleNeeds]: {
    title: 'No worker can ever meet these needs',
    status: 422,
    ran: RunStatus.NotRun,
    final: true,
    message: ({needs}) => `No guarded worker of the fleet offers ${needs}.`,
    hint: 'Ask for less, or split the task.',
  },
  [FailureCode.QueueFull]: {
    title: 'The queue is full',
    status: 503,
    ran: RunStatus.NotRun,
    final: false,
    message: ({waiting, limit}) =>
      `${waiting} tasks wait already and ${limit} may.`,
    hint: 'Come back after Retry-After with a higher attempt.',
  },
  [FailureCode.QuotaExceeded]: {
    title: 'The team is over its quota',
    status: 429,
    ran: RunStatus.NotRun,
    final: false,
    message: ({team, limit}) =>
      `Team "${team}" has ${limit} tasks in the system, its quota.`,
    hint: 'Wait for earlier jobs to end, or have an operator raise the quota.',
  },
  [FailureCode.WaitTooLong]: {
    title: 'The job could not end before its deadline',
    status: 503,
    ran: RunStatus.NotRun,
    final: false,
    message: ({estimateMs, deadlineMs}) =>
      `It would take about ${estimateMs} ms and may take ${deadlineMs} ms.`,
    hint: 'Come back after Retry-After, or allow a longer deadline.',
  },
  [FailureCode.Leaving]: {
    title: 'This instance is leaving',
    status: 503,
    ran: RunStatus.NotRun,
    final: false,
    message: ({instance}) => `Instance "${instance}" takes no new work.`,
    hint: 'Open a session on a new connection; another instance takes it.',
  },
  [FailureCode.PlatformUnavailable]: {
    title: 'The platform does not answer',
    status: 503,
    ran: RunStatus.NotRun,
    final: false,
    message: ({reason}) => `The key-value service is needed here: ${reason}.`,
    hint: 'Use a session, which does not need the platform, or come back.',
  },
  [FailureCode.StaleSubmission]: {
    title: 'The submission was too long under way',
    status: 503,
    ran: RunStatus.NotRun,
    final: false,
    message: ({limitMs}) => `It reached its owner after over ${limitMs} ms.`,
    hint: 'Send it again with a higher attempt.',
  },
  [FailureCode.AttemptClosed]: {
    title: 'This attempt was refused before',
    status: 409,
    ran: RunStatus.NotRun,
    final: false,
    message: ({attempt, closed}) =>
      `Attempt ${attempt} is closed, as are all up to ${closed}.`,
    hint: 'Send a higher attempt.',
  },
  [FailureCode.TooManySessions]: {
    title: 'Too many sessions are open',
    status: 503,
    ran: RunStatus.NotRun,
    final: false,
    message: ({limit}) => `This instance keeps ${limit} sessions at most.`,
    hint: 'End sessions that are not used, or come back.',
  },
  [FailureCode.SessionFull]: {
    title: 'The session has used up its keys',
    status: 409,
    ran: RunStatus.NotRun,
    final: true,
    message: ({limit}) => `A session takes ${limit} keys at most.`,
    hint: 'Open a new session.',
  },
};
