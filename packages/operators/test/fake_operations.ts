/** In-memory fake operations that record their calls, for listener tests. */
import {
  createFailure,
  FailureCode,
  JobState,
  type Failure,
} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import type {
  EditRequest,
  FleetOperations,
  SettingsOperations,
} from '../src/index.js';

/** Current revision of the fake settings tree. */
export const REVISION = 7;

/** Name and arguments of each operation called, in order. */
export type RecordedCalls = unknown[];

/** Creates fake settings that refuse an edit that expects another revision. */
export function createFakeSettings(calls: RecordedCalls): SettingsOperations {
  const record = createCallRecorder(calls);
  return {
    read: node => record('read', node, {revision: REVISION, nodes: {}}),
    readEffective: node =>
      record('effective', node, {revision: REVISION, node, values: []}),
    edit: request => {
      const refusal = checkExpectedRevision(request);
      if (refusal !== undefined) return Promise.resolve(Err(refusal));
      const answer = {revision: REVISION + 1, changes: [], repeated: false};
      return record('edit', request, answer);
    },
    readHistory: limit => record('history', limit, {edits: []}),
    diff: (from, to = REVISION) =>
      record('diff', [from, to], {from, to, changes: [], omitted: 0}),
  };
}

/**
 * Creates a fake fleet in which one peer does not answer. `listServers` rejects
 * to simulate an unexpected error.
 */
export function createFakeFleet(calls: RecordedCalls): FleetOperations {
  const unreached = ['batangas-2.e2.0123456789ab'];
  const record = createCallRecorder(calls);
  const createJobAnswer = (session: string, key: string) => {
    const answer = {session, key, attempt: 1, state: JobState.Complete};
    return {...answer, tasks: []};
  };
  return {
    listJobs: () => record('jobs', undefined, {jobs: [], unreached}),
    readJob: (session, key) =>
      record('job', [session, key], createJobAnswer(session, key)),
    cancelJob: (session, key) =>
      record('cancel', [session, key], createJobAnswer(session, key)),
    listInstances: () => record('instances', undefined, {instances: []}),
    listServers: () => Promise.reject(new Error('simulated unexpected error')),
    drain: () =>
      record('drain', undefined, {incarnation: 'a.b.c', openJobs: 2}),
  };
}

function createCallRecorder(calls: RecordedCalls) {
  return <Answer>(name: string, args: unknown, answer: Answer) => {
    calls.push([name, args]);
    return Promise.resolve<Result<Answer, Failure>>(Ok(answer));
  };
}

function checkExpectedRevision({
  expectedRevision,
}: EditRequest): Failure | undefined {
  if (expectedRevision === undefined || expectedRevision === REVISION) {
    return undefined;
  }
  const args = {expected: expectedRevision, found: REVISION};
  return createFailure(FailureCode.SettingsConflict, args);
}
