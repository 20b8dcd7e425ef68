/** Descriptions of the operations of the operators' listener. */
import {FailureCode} from '@goldcrestpier/protocol';
import {Listener, type Operation} from './operation.js';
import {
  createQueryParameter,
  keyParameter,
  sessionParameter,
} from './parameters.js';

const COMMON_FAILURES = [
  FailureCode.Unauthorized,
  FailureCode.NotFound,
  FailureCode.MethodNotAllowed,
  FailureCode.InternalFault,
];
const SETTINGS_FAILURES = [
  ...COMMON_FAILURES,
  FailureCode.InvalidRequest,
  FailureCode.PlatformUnavailable,
];
const JOB_FAILURES = [
  ...COMMON_FAILURES,
  FailureCode.JobUnknown,
  FailureCode.AnswerExpired,
  FailureCode.SessionEnded,
  FailureCode.OwnerUnreachable,
  FailureCode.OwnerLost,
];
const listener = Listener.Operators;
const JOB_PATH = '/operators/v1/jobs/{session}/{key}';
const nodeParameter = createQueryParameter(
  'node',
  'The path of a node, such as "/billing/quotes"; the root is "/".',
  {type: 'string'},
);
const revisionSchema = {type: 'integer', minimum: 0};

const settingsOperations: readonly Operation[] = [
  {
    id: 'readSettings',
    listener,
    method: 'get',
    path: '/operators/v1/settings',
    summary: 'What each node sets itself, or only one node.',
    parameters: [nodeParameter],
    responses: [
      {status: 200, description: 'The nodes.', schema: 'SettingsView'},
    ],
    failures: [...SETTINGS_FAILURES, FailureCode.SettingsUnknownNode],
  },
  {
    id: 'readEffectiveSettings',
    listener,
    method: 'get',
    path: '/operators/v1/settings/effective',
    summary: 'Every setting in force at one node, and where it comes from.',
    parameters: [nodeParameter],
    responses: [
      {status: 200, description: 'The settings.', schema: 'EffectiveView'},
    ],
    failures: [...SETTINGS_FAILURES, FailureCode.SettingsUnknownNode],
  },
  {
    id: 'editSettings',
    listener,
    method: 'post',
    path: '/operators/v1/settings/edits',
    summary: 'Make one edit, whole or not at all. Safe to repeat by its id.',
    parameters: [],
    body: 'EditRequest',
    responses: [
      {status: 200, description: 'It is written.', schema: 'EditAnswer'},
    ],
    failures: [
      ...SETTINGS_FAILURES,
      FailureCode.InvalidJson,
      FailureCode.BodyTooLarge,
      FailureCode.SettingsConflict,
      FailureCode.SettingsInvalid,
      FailureCode.SettingsUnknownNode,
    ],
  },
  {
    id: 'readSettingsHistory',
    listener,
    method: 'get',
    path: '/operators/v1/settings/history',
    summary: 'The newest edits, newest first.',
    parameters: [
      createQueryParameter('limit', 'How many.', {
        type: 'integer',
        minimum: 1,
        maximum: 1_000,
        default: 20,
      }),
    ],
    responses: [
      {status: 200, description: 'The edits.', schema: 'SettingsHistory'},
    ],
    failures: SETTINGS_FAILURES,
  },
  {
    id: 'diffSettings',
    listener,
    method: 'get',
    path: '/operators/v1/settings/diff',
    summary: 'What changed between two revisions.',
    parameters: [
      createQueryParameter('from', 'The older revision.', revisionSchema, true),
      createQueryParameter('to', 'The newer one; the newest.', revisionSchema),
    ],
    responses: [
      {status: 200, description: 'The changes.', schema: 'SettingsDiff'},
    ],
    failures: SETTINGS_FAILURES,
  },
];

const fleetOperations: readonly Operation[] = [
  {
    id: 'listJobs',
    listener,
    method: 'get',
    path: '/operators/v1/jobs',
    summary: 'The jobs of every instance that can be reached.',
    parameters: [],
    responses: [{status: 200, description: 'The jobs.', schema: 'FleetJobs'}],
    failures: COMMON_FAILURES,
  },
  {
    id: 'showJob',
    listener,
    method: 'get',
    path: JOB_PATH,
    summary: 'One job with the state of each task.',
    parameters: [sessionParameter, keyParameter],
    responses: [{status: 200, description: 'The job.', schema: 'JobAnswer'}],
    failures: JOB_FAILURES,
  },
  {
    id: 'cancelJobAsOperator',
    listener,
    method: 'delete',
    path: JOB_PATH,
    summary: 'Cancel one job.',
    parameters: [sessionParameter, keyParameter],
    responses: [{status: 200, description: 'The job.', schema: 'JobAnswer'}],
    failures: JOB_FAILURES,
  },
  {
    id: 'listInstances',
    listener,
    method: 'get',
    path: '/operators/v1/instances',
    summary: 'The entry instances.',
    parameters: [],
    responses: [
      {status: 200, description: 'The instances.', schema: 'FleetInstances'},
    ],
    failures: COMMON_FAILURES,
  },
  {
    id: 'listServers',
    listener,
    method: 'get',
    path: '/operators/v1/servers',
    summary: 'The backend servers and their holders.',
    parameters: [],
    responses: [
      {status: 200, description: 'The servers.', schema: 'FleetServers'},
    ],
    failures: COMMON_FAILURES,
  },
  {
    id: 'drainInstance',
    listener,
    method: 'post',
    path: '/operators/v1/drain',
    summary: 'Begin the planned stop of this instance.',
    parameters: [],
    responses: [
      {status: 202, description: 'It is leaving.', schema: 'DrainAnswer'},
    ],
    failures: COMMON_FAILURES,
  },
];

/** The operations for operators. */
export const operatorsOperations: readonly Operation[] = [
  ...settingsOperations,
  ...fleetOperations,
];
