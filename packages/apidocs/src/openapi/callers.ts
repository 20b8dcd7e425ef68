/** Descriptions of the operations of the callers' listener. */
import {FailureCode} from '@goldcrestpier/protocol';
import {Listener, type SuccessResponse, type Operation} from './operation.js';
import {
  attemptParameter,
  idempotencyKeyParameter,
  keyParameter,
  sessionParameter,
  waitParameter,
} from './parameters.js';

const BODY_FAILURES = [
  FailureCode.InvalidJson,
  FailureCode.InvalidRequest,
  FailureCode.BodyTooLarge,
];
const SESSION_FAILURES = [
  FailureCode.NotFound,
  FailureCode.SessionEnded,
  FailureCode.OwnerUnreachable,
  FailureCode.OwnerLost,
  FailureCode.InternalFault,
];
const SUBMISSION_FAILURES = [
  FailureCode.UnknownService,
  FailureCode.ImpossibleNeeds,
  FailureCode.QueueFull,
  FailureCode.QuotaExceeded,
  FailureCode.WaitTooLong,
  FailureCode.BackendUnavailable,
  FailureCode.Leaving,
  FailureCode.StaleSubmission,
  FailureCode.AttemptClosed,
  FailureCode.ContentConflict,
  FailureCode.AnswerExpired,
];
const READ_FAILURES = [
  FailureCode.InvalidRequest,
  FailureCode.JobUnknown,
  FailureCode.AnswerExpired,
];
const JOB_RESPONSES: readonly SuccessResponse[] = [
  {
    status: 200,
    description: 'The job has ended: the whole answer.',
    schema: 'JobAnswer',
  },
  {
    status: 202,
    description: 'The job is running: read it again.',
    schema: 'JobAnswer',
  },
];
const JOB_PATH = '/v1/sessions/{session}/jobs/{key}';
const listener = Listener.Callers;

/** The operations for callers and the balancer. */
export const callersOperations: readonly Operation[] = [
  {
    id: 'openSession',
    listener,
    method: 'post',
    path: '/v1/sessions',
    summary: 'Open a session. Starts nothing, so a lost answer is harmless.',
    parameters: [],
    responses: [
      {
        status: 201,
        description: 'The session, owned by the instance that answered.',
        schema: 'SessionAnswer',
      },
    ],
    failures: [
      FailureCode.Leaving,
      FailureCode.TooManySessions,
      FailureCode.InternalFault,
    ],
  },
  {
    id: 'endSession',
    listener,
    method: 'delete',
    path: '/v1/sessions/{session}',
    summary: 'End a session. Its running jobs are cancelled.',
    parameters: [sessionParameter],
    responses: [{status: 204, description: 'The session has ended.'}],
    failures: SESSION_FAILURES,
  },
  {
    id: 'submitJob',
    listener,
    method: 'put',
    path: JOB_PATH,
    summary: 'Submit a job, or submit it again. Its tasks start at most once.',
    parameters: [
      sessionParameter,
      keyParameter,
      attemptParameter,
      waitParameter,
    ],
    body: 'Job',
    responses: JOB_RESPONSES,
    failures: [
      ...BODY_FAILURES,
      ...SESSION_FAILURES,
      ...SUBMISSION_FAILURES,
      FailureCode.SessionFull,
    ],
  },
  {
    id: 'readJob',
    listener,
    method: 'get',
    path: JOB_PATH,
    summary: 'Read a job, waiting for its end.',
    parameters: [sessionParameter, keyParameter, waitParameter],
    responses: JOB_RESPONSES,
    failures: [
      ...READ_FAILURES,
      ...SESSION_FAILURES,
      // If the key's latest attempt was refused, its failure is returned again.
      ...SUBMISSION_FAILURES,
    ],
  },
  {
    id: 'cancelJob',
    listener,
    method: 'delete',
    path: JOB_PATH,
    summary: 'Cancel a job. Tasks that had started are asked to stop.',
    parameters: [sessionParameter, keyParameter],
    responses: JOB_RESPONSES,
    failures: [...READ_FAILURES, ...SESSION_FAILURES, ...SUBMISSION_FAILURES],
  },
  {
    id: 'submitPlainJob',
    listener,
    method: 'post',
    path: '/v1/jobs',
    summary: 'Submit a job under an idempotency key, without a session.',
    parameters: [idempotencyKeyParameter, waitParameter],
    body: 'Job',
    responses: JOB_RESPONSES,
    failures: [
      ...BODY_FAILURES,
      ...SESSION_FAILURES,
      ...SUBMISSION_FAILURES,
      FailureCode.PlatformUnavailable,
    ],
  },
  {
    id: 'readHealth',
    listener,
    method: 'get',
    path: '/healthz',
    summary: 'Whether the process lives.',
    parameters: [],
    responses: [{status: 200, description: 'It lives.'}],
    failures: [],
  },
  {
    id: 'readReadiness',
    listener,
    method: 'get',
    path: '/readyz',
    summary: 'Whether the balancer should send new callers here.',
    parameters: [],
    responses: [
      {status: 200, description: 'It takes new work.'},
      {status: 503, description: 'It is starting or leaving.'},
    ],
    failures: [],
  },
  {
    id: 'readMetrics',
    listener,
    method: 'get',
    path: '/metrics',
    summary: 'Counters and gauges in the text form of Prometheus.',
    parameters: [],
    responses: [{status: 200, description: 'The metrics, as text.'}],
    failures: [],
  },
];
