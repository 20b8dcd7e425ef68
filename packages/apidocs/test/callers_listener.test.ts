import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {
  FailureCode,
  jobAnswerSchema,
  sessionAnswerSchema,
  type Failure,
} from '@goldcrestpier/protocol';
import {Listener} from '../src/index.js';
import {callAndValidate, checkAllowedMethods} from './openapi_conformance.js';

const TOKEN = 'a-token-for-this-test-only';
const METRIC_TYPE_PATTERN = /^# TYPE (goldcrestpier_\w+)/gm;
const METRIC_ROW_PATTERN = /^\| `(goldcrestpier_\w+)`/gm;
const MAX_START_POLLS = 500;
const START_POLL_INTERVAL_MS = 20;
const BINARY = fileURLToPath(
  new URL('bin/goldcrestpier.js', import.meta.resolve('@goldcrestpier/entry')),
);
const directory = mkdtempSync(join(tmpdir(), 'goldcrestpier-apidocs-'));
let child: ChildProcess;
let origin: string;

before(async () => {
  const ports = await Promise.all([1, 2, 3, 4].map(findFreePort));
  const [callers, peers, operators, unusedAddress] = ports.map(
    port => `127.0.0.1:${port}`,
  );
  const path = join(directory, 'entry.toml');
  writeFileSync(
    path,
    `zone = "batangas-1"
instance = "e1"
[callers]
listen = "${callers}"
max_body_bytes = 100000
[peers]
listen = "${peers}"
token = "${TOKEN}"
[operators]
listen = "${operators}"
token = "${TOKEN}"
[platform]
key_value = ["http://${unusedAddress}"]
instance_list = "http://${unusedAddress}/targets"
[logs]
level = "error"
`,
  );
  child = spawn(process.execPath, [BINARY, '--settings', path], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  origin = `http://${callers}`;
  await waitUntilStarted();
});
after(async () => {
  if (child.exitCode === null) {
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
  rmSync(directory, {recursive: true});
});

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

async function waitUntilStarted(): Promise<void> {
  for (let polls = 0; polls < MAX_START_POLLS; polls += 1) {
    try {
      const response = await fetch(`${origin}/healthz`);
      await response.arrayBuffer();
      return;
    } catch {
      await new Promise(resolve => setTimeout(resolve, START_POLL_INTERVAL_MS));
    }
  }
  throw new Error('the entry instance did not start');
}

function getSortedNames(matches: readonly RegExpMatchArray[]): string[] {
  return [...new Set(matches.map(([, name = '']) => name))].sort();
}

async function openSession(): Promise<string> {
  const {status, body} = await callAndValidate(origin, 'openSession');
  assert.equal(status, 201);
  return sessionAnswerSchema.parse(body).session;
}

test('every path accepts only the described methods', () =>
  checkAllowedMethods(origin, Listener.Callers));

test('health, readiness and metrics have the described responses', async () => {
  assert.equal((await callAndValidate(origin, 'readHealth')).status, 200);
  await callAndValidate(origin, 'readReadiness');
  assert.equal((await callAndValidate(origin, 'readMetrics')).status, 200);
});

test("the operators' page lists exactly the metrics that are exported", async () => {
  const page = readFileSync(
    new URL('../../../../docs/operators.md', import.meta.url),
    'utf8',
  );
  const response = await fetch(`${origin}/metrics`);
  const exportedMetrics = [
    ...(await response.text()).matchAll(METRIC_TYPE_PATTERN),
  ];
  const documentedMetrics = [...page.matchAll(METRIC_ROW_PATTERN)];
  assert.deepEqual(
    getSortedNames(documentedMetrics),
    getSortedNames(exportedMetrics),
  );
});

test('a session and a job of it have the described responses until the session ends', async () => {
  const session = await openSession();
  const task = {service: 'nobody-serves-this', payload: {}};
  const parts = {session, key: 'k1'};
  const submitted = await callAndValidate(origin, 'submitJob', {
    ...parts,
    query: '?attempt=1&wait=10',
    body: {deadlineMs: 200, tasks: [task]},
  });
  if (submitted.status < 400) jobAnswerSchema.parse(submitted.body);
  await callAndValidate(origin, 'readJob', {...parts, query: '?wait=10'});
  await callAndValidate(origin, 'cancelJob', parts);
  const ended = await callAndValidate(origin, 'endSession', {session});
  assert.equal(ended.status, 204);
  const late = await callAndValidate(origin, 'readJob', parts);
  assert.equal((late.body as Failure).code, FailureCode.SessionEnded);
});

const invalidJobs: ReadonlyArray<[string, string, unknown, FailureCode]> = [
  ['no tasks', '', {tasks: []}, FailureCode.InvalidRequest],
  ['a bad attempt', '?attempt=0', {tasks: []}, FailureCode.InvalidRequest],
  ['a large body', '', {tasks: 'x'.repeat(200_000)}, FailureCode.BodyTooLarge],
  [
    'too many tasks',
    '',
    {tasks: Array.from({length: 1_001}, () => ({service: 'a'}))},
    FailureCode.InvalidRequest,
  ],
];
for (const [what, query, body, code] of invalidJobs) {
  test(`a job with ${what} is refused with the described failure`, async () => {
    const session = await openSession();
    const parts = {session, query, body};
    const refused = await callAndValidate(origin, 'submitJob', parts);
    assert.equal((refused.body as Failure).code, code);
  });
}

test('unknown sessions and jobs have the described failures', async () => {
  const unknown = await callAndValidate(origin, 'readJob', {key: 'k'});
  assert.equal((unknown.body as Failure).code, FailureCode.NotFound);
  const session = await openSession();
  const missing = await callAndValidate(origin, 'readJob', {session});
  assert.equal((missing.body as Failure).code, FailureCode.JobUnknown);
});

test('a submission without a session has the described failure during an outage', async () => {
  const tasks = [{service: 'quotes', payload: {}}];
  const refused = await callAndValidate(origin, 'submitPlainJob', {
    headers: {'idempotency-key': 'tag-1'},
    body: {tasks},
  });
  assert.equal((refused.body as Failure).code, FailureCode.PlatformUnavailable);
});
