/** Operations over plain values in memory, for tests of the listener. */
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

/** The revision at which the fake tree stands. */
export const REVISION = 7;

/** Everything that was asked, in order. */
export type Asked = unknown[];

/** A tree with one node that accepts every edit of its newest revision. */
export function createFakeSettings(asked: Asked): SettingsOperations {
  const note = createNote(asked);
  return {
    read: node => note('read', node, {revision: REVISION, nodes: {}}),
    readEffective: node =>
      note('effective', node, {revision: REVISION, node, values: []}),
    edit: request => {
      const refusal = refuseEdit(request);
      if (refusal !== undefined) return Promise.resolve(Err(refusal));
      const answer = {revision: REVISION + 1, changes: [], repeated: false};
      return note('edit', request, answer);
    },
    readHistory: limit => note('history', limit, {edits: []}),
    diff: (from, to = REVISION) =>
      note('diff', [from, to], {from, to, changes: [], omitted: 0}),
  };
}

/** A fleet of one instance, with one peer that does not answer. */
export function createFakeFleet(asked: Asked): FleetOperations {
  const unreached = ['batangas-2.e2.0123456789ab'];
  const note = createNote(asked);
  const job = (session: string, key: string) => {
    const answer = {session, key, attempt: 1, state: JobState.Complete};
    return {...answer, tasks: []};
  };
  return {
    listJobs: () => note('jobs', undefined, {jobs: [], unreached}),
    readJob: (session, key) => note('job', [session, key], job(session, key)),
    cancelJob: (session, key) =>
      note('cancel', [session, key], job(session, key)),
    listInstances: () => note('instances', undefined, {instances: []}),
    listServers: () => Promise.reject(new Error('a bug of the test')),
    drain: () => note('drain', undefined, {incarnation: 'a.b.c', openJobs: 2}),
  };
}

function createNote(asked: Asked) {
  return <Answer>(name: string, args: unknown, answer: Answer) => {
    asked.push([name, args]);
    return Promise.resolve<Result<Answer, Failure>>(Ok(answer));
  };
}

function refuseEdit({expectedRevision}: EditRequest): Failure | undefined {
  if (expectedRevision === undefined || expectedRevision === REVISION) {
    return undefined;
  }
  const args = {expected: expectedRevision, found: REVISION};
  return createFailure(FailureCode.SettingsConflict, args);
}
