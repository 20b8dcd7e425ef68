import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import {
  failureSchema,
  JobState,
  jobSchema,
  MAX_TASKS_PER_JOB,
  RunStatus,
} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import fc from 'fast-check';
import {Ok} from 'ts-results-es';
import {createCallersServer} from '../src/callers/index.js';
import type {Gateway} from '../src/gateway/gateway.js';
import {Readiness} from '../src/start/readiness.js';

const MAX_BODY_BYTES = 4_096;
const RANDOM_SEED = 20;

const loggedErrors: string[] = [];
let acceptedCount = 0;
const acceptJob: Gateway['submit'] = ({session, key, job}) => {
  acceptedCount += 1;
  assert.equal(jobSchema.safeParse(job).success, true);
  const tasks: [] = [];
  return Promise.resolve(
    Ok({session, key, attempt: 1, state: JobState.Complete, tasks}),
  );
};
const gateway = {
  submit: acceptJob,
  submitWithoutSession: (key, job, wait, receivedAt) =>
    acceptJob({session: 's', key, attempt: undefined, job, wait}, receivedAt),
} as Partial<Gateway> as Gateway;

const server = createCallersServer({
  gateway,
  limits: {maxBodyBytes: MAX_BODY_BYTES, maxConnections: 100, idleMs: 1_000},
  readiness: new Readiness(() => true),
  readMetrics: () => Promise.resolve(''),
  arrivalTime: now => now,
  countRequest: () => undefined,
  logger: {
    ...silentLogger,
    error: message => {
      loggedErrors.push(message);
    },
  },
});
let url = '';

before(async () => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(() => {
  server.closeAllConnections();
  server.close();
});

/** Submits a body; checks that a refusal is a valid failure with "not run". */
async function submitBody(
  body: string | Uint8Array,
  query = '',
): Promise<number> {
  const path = `/v1/sessions/a.b.0123456789ab.1/jobs/key${query}`;
  const response = await fetch(`${url}${path}`, {method: 'PUT', body});
  const json: unknown = await response.json();
  if (response.status === 200) return response.status;
  assert.equal(failureSchema.parse(json).ran, RunStatus.NotRun);
  return response.status;
}

test('a random body is either a valid job or refused with a failure', async () => {
  const property = fc.asyncProperty(
    fc.oneof(fc.uint8Array({maxLength: 200}), fc.string(), fc.json()),
    async body => {
      assert.equal([200, 400].includes(await submitBody(body)), true);
    },
  );
  await fc.assert(property, {seed: RANDOM_SEED, numRuns: 150});
});

test('a job with one field replaced at random is either valid or refused', async () => {
  const field = fc.constantFrom(
    'team',
    'deadlineMs',
    'tasks',
    'service',
    'worker',
    'declaredMs',
    'repeatable',
    'unknown',
  );
  const property = fc.asyncProperty(
    field,
    fc.jsonValue(),
    async (name, value) => {
      const isTaskField = !['team', 'deadlineMs', 'tasks'].includes(name);
      const task = {service: 'invoicing', payload: 1};
      const tasks = [isTaskField ? {...task, [name]: value} : task];
      const job = isTaskField ? {tasks} : {tasks, [name]: value};
      assert.equal(
        [200, 400].includes(await submitBody(JSON.stringify(job))),
        true,
      );
    },
  );
  await fc.assert(property, {seed: RANDOM_SEED, numRuns: 200});
});

test('random attempt and wait parameters are either accepted or refused', async () => {
  const body = JSON.stringify({tasks: [{service: 'a', payload: 1}]});
  const property = fc.asyncProperty(
    fc.string(),
    fc.string(),
    async (attempt, wait) => {
      const query = new URLSearchParams({attempt, wait}).toString();
      assert.equal(
        [200, 400].includes(await submitBody(body, `?${query}`)),
        true,
      );
    },
  );
  await fc.assert(property, {seed: RANDOM_SEED, numRuns: 150});
});

test('a body over the size limit or a job with too many tasks starts nothing', async () => {
  acceptedCount = 0;
  assert.equal(await submitBody('x'.repeat(MAX_BODY_BYTES + 1)), 413);
  const tasks = Array.from({length: MAX_TASKS_PER_JOB + 1}, () => ({}));
  assert.equal(await submitBody(JSON.stringify({tasks})), 400);
  assert.equal(acceptedCount, 0);
});

test('a connection closed during a request body logs no error, and the server goes on', async () => {
  const errorCount = loggedErrors.length;
  const socket = connect(Number(new URL(url).port), '127.0.0.1');
  await once(socket, 'connect');
  const path = '/v1/sessions/a.b.0123456789ab.1/jobs/key';
  socket.write(
    `PUT ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{`,
  );
  await new Promise(resolve => setTimeout(resolve, 50));
  socket.destroy();
  await once(socket, 'close');
  assert.equal(await submitBody('{}'), 400);
  assert.equal(loggedErrors.length, errorCount);
});

test('an unknown path is refused with a failure, whatever the method', async () => {
  const method = fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'PATCH');
  const part = fc.oneof(
    fc.constantFrom('v1', 'sessions', 'jobs', '', '..', '%00'),
    fc.webSegment(),
  );
  const property = fc.asyncProperty(
    method,
    fc.array(part, {minLength: 3, maxLength: 7}),
    async (name, parts) => {
      const path = `/x/${parts.join('/')}`;
      const response = await fetch(`${url}${path}`, {method: name});
      failureSchema.parse(await response.json());
    },
  );
  await fc.assert(property, {seed: RANDOM_SEED, numRuns: 150});
});
