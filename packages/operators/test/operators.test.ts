import assert from 'node:assert/strict';
import type {AddressInfo} from 'node:net';
import {after, before, beforeEach, test} from 'node:test';
import {
  failureSchema,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import fc from 'fast-check';
import {createOperatorsServer} from '../src/index.js';
import {
  createFakeFleet,
  createFakeSettings,
  REVISION,
  type RecordedCalls,
} from './fake_operations.js';

const TOKEN = 'a token for operators';
const recordedCalls: RecordedCalls = [];
const server = createOperatorsServer({
  token: TOKEN,
  settings: createFakeSettings(recordedCalls),
  fleet: createFakeFleet(recordedCalls),
  logger: silentLogger,
});
let origin: string;

before(async () => {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});
beforeEach(() => {
  recordedCalls.length = 0;
});
after(() => {
  server.closeAllConnections();
  server.close();
});

interface ReceivedResponse {
  readonly status: number;
  readonly body: unknown;
}

async function sendRequest(
  method: string,
  path: string,
  body?: string,
  token = TOKEN,
): Promise<ReceivedResponse> {
  const headers = {authorization: `Bearer ${token}`};
  const url = `${origin}/operators/v1/${path}`;
  const response = await fetch(url, {method, headers, body});
  return {status: response.status, body: await response.json()};
}

async function sendFailingRequest(
  ...args: Parameters<typeof sendRequest>
): Promise<Failure> {
  const {status, body} = await sendRequest(...args);
  assert.ok(status >= 400);
  return failureSchema.parse(body);
}

const EDIT = {
  editId: 'edit-1',
  by: 'rosa',
  edits: [{kind: 'set', node: '/billing', key: 'retry.max_starts', value: 2}],
};

const validRequests: ReadonlyArray<[string, string, unknown, number]> = [
  ['GET', 'settings', ['read', undefined], 200],
  ['GET', 'settings?node=/billing', ['read', '/billing'], 200],
  ['GET', 'settings/effective?node=/billing', ['effective', '/billing'], 200],
  ['GET', 'settings/effective', ['effective', '/'], 200],
  ['GET', 'settings/history?limit=3', ['history', 3], 200],
  ['GET', 'settings/history', ['history', 20], 200],
  ['GET', 'settings/diff?from=3&to=5', ['diff', [3, 5]], 200],
  ['GET', 'settings/diff?from=3', ['diff', [3, REVISION]], 200],
  ['GET', 'jobs', ['jobs', undefined], 200],
  ['GET', 'jobs/a.b.c.1/k', ['job', ['a.b.c.1', 'k']], 200],
  ['DELETE', 'jobs/a.b.c.1/k', ['cancel', ['a.b.c.1', 'k']], 200],
  ['GET', 'instances', ['instances', undefined], 200],
  ['POST', 'drain', ['drain', undefined], 202],
];
for (const [method, path, expected, status] of validRequests) {
  test(`${method} ${path} calls the matching operation`, async () => {
    const answer = await sendRequest(method, path);
    assert.equal(answer.status, status);
    assert.deepEqual(recordedCalls, [expected]);
  });
}

test('a valid edit is applied and answered with the new revision', async () => {
  const answer = await sendRequest(
    'POST',
    'settings/edits',
    JSON.stringify(EDIT),
  );
  assert.deepEqual(answer, {
    status: 200,
    body: {revision: REVISION + 1, changes: [], repeated: false},
  });
  assert.deepEqual(recordedCalls, [['edit', EDIT]]);
});

test('an edit that expects an older revision fails with a conflict', async () => {
  const body = JSON.stringify({...EDIT, expectedRevision: 3});
  const failure = await sendFailingRequest('POST', 'settings/edits', body);
  assert.equal(failure.code, FailureCode.SettingsConflict);
});

const invalidRequests: ReadonlyArray<
  [string, string, string | undefined, RegExp]
> = [
  ['GET', 'settings/diff', undefined, /from: found nothing, expected a rev/],
  ['GET', 'settings/diff?from=x', undefined, /from: found "x", expected a num/],
  [
    'GET',
    'settings/history?limit=0',
    undefined,
    /limit: found "0", expected 1/,
  ],
  ['POST', 'settings/edits', '{"editId":"e","by":"r"}', /edits: found nothing/],
  ['POST', 'settings/edits', '[', /could not be read as JSON/],
  ['POST', 'settings/edits', `"${'x'.repeat(2e6)}"`, /larger than 1048576/],
  ['GET', 'nothing', undefined, /There is no such path/],
  ['PUT', 'jobs', undefined, /Allowed are GET/],
];
for (const [method, path, body, message] of invalidRequests) {
  test(`${method} ${path} with ${body?.slice(0, 12)} is refused`, async () => {
    const failure = await sendFailingRequest(method, path, body);
    assert.match(failure.message, message);
    assert.deepEqual(recordedCalls, []);
  });
}

test('a wrong token is refused before the path is matched', async () => {
  for (const path of ['jobs', 'nothing']) {
    const failure = await sendFailingRequest(
      'GET',
      path,
      undefined,
      `${TOKEN}x`,
    );
    assert.equal(failure.code, FailureCode.Unauthorized);
  }
  assert.deepEqual(recordedCalls, []);
});

test('the listener answers an unexpected error and keeps serving', async () => {
  const failure = await sendFailingRequest('GET', 'servers');
  assert.equal(failure.code, FailureCode.InternalFault);
  assert.equal((await sendRequest('GET', 'jobs')).status, 200);
});

test('any JSON body gets an answer or a client error', async () => {
  await fc.assert(
    fc.asyncProperty(fc.json(), async body => {
      const {status} = await sendRequest('POST', 'settings/edits', body);
      assert.ok([200, 400, 409].includes(status));
    }),
    {seed: 4, numRuns: 50},
  );
});
