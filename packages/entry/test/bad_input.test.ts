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
import type {Gateway} from '../src/gateway/types.js';
import {Readiness} from '../src/start/readiness.js';

const MAX_BODY_BYTES = 4_096;
const SEED = 20;

const errors: string[] = [];
let accepted = 0;
const accept: Gateway['submit'] = ({session, key, job}) => {
  accepted += 1;
  assert.equal(jobSchema.safeParse(job).success, true);
  const tasks: [] = [];
  return Promise.resolve(
    Ok({session, key, attempt: 1, state: JobState.Complete, tasks}),
  );
};
const gateway = {
  submit: accept,
  submitPlain: (key, job, wait, receivedAt) =>
    accept({session: 's', key, attempt: undefined, job, wait}, receivedAt),
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
      errors.push(message);
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

/** Sends a body; what is refused has to say so in a typed body. */
async function send(body: string | Uint8Array, query = ''): Promise<number> {
  const path = `/v1/sessions/a.b.0123456789ab.1/jobs/key${query}`;
  const response = await fetch(`${url}${path}`, {method: 'PUT', body});
  const json: unknown = await response.json();
  if (response.status === 200) return response.status;
  assert.equal(failureSchema.parse(json).ran, RunStatus.NotRun);
  return response.status;
}

test('any bytes as a body are refused with a typed body or are a valid job', async () => {
  const property = fc.asyncProperty(
    fc.oneof(fc.uint8Array({maxLength: 200}), fc.string(), fc.json()),
    async body => {
      assert.equal([200, 400].includes(await send(body)), true);
    },
  );
  await fc.assert(property, {seed: SEED, numRuns: 150});
});

test('a job with any one field replaced is refused or is still a valid job', async () => {
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
    async (name, any) => {
      const isTaskField = !['team', 'deadlineMs', 'tasks'].includes(name);
      const task = {service: 'invoicing', payload: 1};
      const tasks = [isTaskField ? {...task, [name]: any} : task];
      const job = isTaskField ? {tasks} : {tasks, [name]: any};
      assert.equal([200, 400].includes(await send(JSON.stringify(job))), true);
    },
  );
  await fc.assert(property, {seed: SEED, numRuns: 200});
});

test('any attempt and wait in the query are read or refused', async () => {
  const body = JSON.stringify({tasks: [{service: 'a', payload: 1}]});
  const property = fc.asyncProperty(
    fc.string(),
    fc.string(),
    async (attempt, wait) => {
      const query = new URLSearchParams({attempt, wait}).toString();
      assert.equal([200, 400].includes(await send(body, `?${query}`)), true);
    },
  );
  await fc.assert(property, {seed: SEED, numRuns: 150});
});

test('a body over the limit and a job of too many tasks start nothing', async () => {
  accepted = 0;
  assert.equal(await send('x'.repeat(MAX_BODY_BYTES + 1)), 413);
  const tasks = Array.from({length: MAX_TASKS_PER_JOB + 1}, () => ({}));
  assert.equal(await send(JSON.stringify({tasks})), 400);
  assert.equal(accepted, 0);
});

test('a caller that goes away amid its body is no fault, and the listener goes on', async () => {
  const faults = errors.length;
  const socket = connect(Number(new URL(url).port), '127.0.0.1');
  await once(socket, 'connect');
  const path = '/v1/sessions/a.b.0123456789ab.1/jobs/key';
  socket.write(
    `PUT ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{`,
  );
  await new Promise(resolve => setTimeout(resolve, 50));
  socket.destroy();
  await once(socket, 'close');
  assert.equal(await send('{}'), 400);
  assert.equal(errors.length, faults);
});

test('any method and path get a typed answer', async () => {
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
  await fc.assert(property, {seed: SEED, numRuns: 150});
});
