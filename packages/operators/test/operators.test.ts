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
  type Asked,
} from './fake_operations.js';

const TOKEN = 'a token for operators';
const asked: Asked = [];
const server = createOperatorsServer({
  token: TOKEN,
  settings: createFakeSettings(asked),
  fleet: createFakeFleet(asked),
  logger: silentLogger,
});
let origin: string;

before(async () => {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});
beforeEach(() => {
  asked.length = 0;
});
after(() => {
  server.closeAllConnections();
  server.close();
});

interface Answered {
  readonly status: number;
  readonly body: unknown;
}

async function call(
  method: string,
  path: string,
  body?: string,
  token = TOKEN,
): Promise<Answered> {
  const headers = {authorization: `Bearer ${token}`};
  const url = `${origin}/operators/v1/${path}`;
  const response = await fetch(url, {method, headers, body});
  return {status: response.status, body: await response.json()};
}

async function fail(...args: Parameters<typeof call>): Promise<Failure> {
  const {status, body} = await call(...args);
  assert.ok(status >= 400);
  return failureSchema.parse(body);
}

const EDIT = {
  editId: 'edit-1',
  by: 'rosa',
  edits: [{kind: 'set', node: '/billing', key: 'retry.max_starts', value: 2}],
};

const calls: ReadonlyArray<[string, string, unknown, number]> = [
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
for (const [method, path, expected, status] of calls) {
  test(`${method} ${path} asks for its operation`, async () => {
    const answer = await call(method, path);
    assert.equal(answer.status, status);
    assert.deepEqual(asked, [expected]);
  });
}

test('an edit is checked, handed on and answered with its revision', async () => {
  const answer = await call('POST', 'settings/edits', JSON.stringify(EDIT));
  assert.deepEqual(answer, {
    status: 200,
    body: {revision: REVISION + 1, changes: [], repeated: false},
  });
  assert.deepEqual(asked, [['edit', EDIT]]);
});

test('an edit of an older revision is answered as a conflict', async () => {
  const body = JSON.stringify({...EDIT, expectedRevision: 3});
  const failure = await fail('POST', 'settings/edits', body);
  assert.equal(failure.code, FailureCode.SettingsConflict);
});

const wrong: ReadonlyArray<[string, string, string | undefined, RegExp]> = [
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
for (const [method, path, body, message] of wrong) {
  test(`${method} ${path} with ${body?.slice(0, 12)} is refused`, async () => {
    const failure = await fail(method, path, body);
    assert.match(failure.message, message);
    assert.deepEqual(asked, []);
  });
}

test('without the right token nothing is asked, not even the path', async () => {
  for (const path of ['jobs', 'nothing']) {
    const failure = await fail('GET', path, undefined, `${TOKEN}x`);
    assert.equal(failure.code, FailureCode.Unauthorized);
  }
  assert.deepEqual(asked, []);
});

test('an unforeseen fault is answered and the listener goes on', async () => {
  const failure = await fail('GET', 'servers');
  assert.equal(failure.code, FailureCode.InternalFault);
  assert.equal((await call('GET', 'jobs')).status, 200);
});

test('any body is answered with an answer or a typed failure', async () => {
  await fc.assert(
    fc.asyncProperty(fc.json(), async body => {
      const {status} = await call('POST', 'settings/edits', body);
      assert.ok([200, 400, 409].includes(status));
    }),
    {seed: 4, numRuns: 50},
  );
});
