/** Catalogue entries of failed sessions, jobs, tasks and settings edits. */
import {FailureCode, RunStatus} from './codes.js';
import type {FailureEntries} from './catalogue_entry.js';
import {formatProblems} from './format_problems.js';

type Code =
  | FailureCode.ContentConflict
  | FailureCode.SessionEnded
  | FailureCode.JobUnknown
  | FailureCode.AnswerExpired
  | FailureCode.OwnerUnreachable
  | FailureCode.OwnerLost
  | FailureCode.TaskFailed
  | FailureCode.Cancelled
  | FailureCode.DeadlinePassed
  | FailureCode.OutcomeUnknown
  | FailureCode.BackendFailed
  | FailureCode.BackendUnavailable
  | FailureCode.LeaseLost
  | FailureCode.RetryBudgetSpent
  | FailureCode.SettingsConflict
  | FailureCode.SettingsInvalid
  | FailureCode.SettingsUnknownNode
  | FailureCode.InternalFault;

/** Title, status, message and hint of each of these failures. */
export const outcomes: FailureEntries<Code> = {
  [FailureCode.ContentConflict]: {
    title: 'The key was used for other content',
    status: 409,
    ran: RunStatus.NotRun,
    final: true,
    message: ({key}) => `Key "${key}" names a job with other content.`,
    hint: 'Use a key of its own for each job.',
  },
  [FailureCode.SessionEnded]: {
    title: 'The session has ended',
    status: 410,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: ({session}) => `Session "${session}" can no longer be used.`,
    hint: 'An earlier submission may have run. Check before you send it anew.',
  },
  [FailureCode.JobUnknown]: {
    title: 'The session has no such job',
    status: 404,
    ran: RunStatus.MayHaveRun,
    final: false,
    message: ({key}) => `No job with key "${key}" has arrived.`,
    hint: 'Submit it; a copy may still be under way.',
  },
  [FailureCode.AnswerExpired]: {
    title: 'The answer is no longer kept',
    status: 410,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: ({key}) => `The job with key "${key}" ended long ago.`,
    hint: 'Collect answers sooner. The job is not started again.',
  },
  [FailureCode.OwnerUnreachable]: {
    title: 'The owner of the session does not answer',
    status: 503,
    ran: RunStatus.MayHaveRun,
    final: false,
    message: ({owner}) => `Instance "${owner}" cannot be reached from here.`,
    hint: 'Ask again with the same session, key and attempt.',
  },
  [FailureCode.OwnerLost]: {
    title: 'The owner of the session is gone',
    status: 410,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: ({owner}) => `Instance "${owner}" ended with its sessions.`,
    hint: 'Its tasks may have run and are not started again.',
  },
  [FailureCode.TaskFailed]: {
    title: 'Not every task has a result',
    status: 200,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: ({failed, tasks}) => `${failed} of ${tasks} tasks failed.`,
    hint: 'Look at the state of each task.',
  },
  [FailureCode.Cancelled]: {
    title: 'Cancelled by its caller or an operator',
    status: 200,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: () => 'It was cancelled before it ended.',
    hint: 'Tasks that had started were asked to stop.',
  },
  [FailureCode.DeadlinePassed]: {
    title: 'The deadline passed',
    status: 200,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: ({deadlineMs}) => `It did not end within ${deadlineMs} ms.`,
    hint: 'Allow a longer deadline, or send less at once.',
  },
  [FailureCode.OutcomeUnknown]: {
    title: 'The outcome is not known',
    status: 200,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: ({server}) => `"${server}" may have run it; no answer came back.`,
    hint: 'Check before you send it anew. Mark work repeatable where it is.',
  },
  [FailureCode.BackendFailed]: {
    title: 'The backend server reported a failure',
    status: 200,
    ran: RunStatus.Ran,
    final: true,
    message: ({server, reason}) => `"${server}" ended it with: ${reason}.`,
    hint: 'The task itself failed; sending it anew may fail again.',
  },
  [FailureCode.BackendUnavailable]: {
    title: 'No backend server can take it',
    status: 503,
    ran: RunStatus.NotRun,
    final: false,
    message: ({pool}) => `No live server serves "${pool}" at present.`,
    hint: 'Come back after Retry-After.',
  },
  [FailureCode.LeaseLost]: {
    title: 'The lease on the worker was lost',
    status: 200,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: ({server}) => `The lease on "${server}" lapsed before the end.`,
    hint: 'Check before you send it anew.',
  },
  [FailureCode.RetryBudgetSpent]: {
    title: 'The retry budget is spent',
    status: 200,
    ran: RunStatus.MayHaveRun,
    final: true,
    message: ({service}) => `Retries for "${service}" are at their limit.`,
    hint: 'The service fails often at present; come back later.',
  },
  [FailureCode.SettingsConflict]: {
    title: 'The settings were changed meanwhile',
    status: 409,
    ran: RunStatus.NotRun,
    final: false,
    message: ({expected, found}) =>
      `The edit was made on revision ${expected}; the tree is at ${found}.`,
    hint: 'Look at both changes, then edit the newer revision.',
  },
  [FailureCode.SettingsInvalid]: {
    title: 'The settings are not valid',
    status: 422,
    ran: RunStatus.NotRun,
    final: true,
    message: ({problems}) => `${formatProblems(problems)}.`,
    hint: 'Correct the named keys; nothing was changed.',
  },
  [FailureCode.SettingsUnknownNode]: {
    title: 'The settings have no such node',
    status: 404,
    ran: RunStatus.NotRun,
    final: true,
    message: ({node}) => `There is no node "${node}".`,
    hint: 'List the nodes with "goldcrestpierctl settings get".',
  },
  [FailureCode.InternalFault]: {
    title: 'A fault of goldcrestpier',
    status: 500,
    ran: RunStatus.MayHaveRun,
    final: false,
    message: ({part}) => `The ${part} part met something unforeseen.`,
    hint: 'Please report it with the log lines of this moment.',
  },
};
