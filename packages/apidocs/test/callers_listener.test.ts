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
import {callAsDescribed, checkMethods} from './described_calls.js';

const TOKEN = 'a-token-for-this-test-only';
const METRIC = /^# TYPE (goldcrestpier_\w+)/gm;
const LISTED_METRIC = /^\| `(goldcrestpier_\w+)`/gm;
const READY_TRIES = 500;
const READY_PAUSE_MS = 20;
const BINARY = fileURLToPath(
  new URL('bin/goldcrestpier.js', import.meta.resolve('@goldcrestpier/entry')),
);
const directory = mkdtempSync(join(tmpdir(), 'goldcrestpier-apidocs-'));
let child: ChildProcess;
let origin: string;

before(async () => {
  const ports = await Promise.all([1, 2, 3, 4].map(findFreePort));
  const [callers, peers, operators, nobody] = ports.map(
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
key_value = ["http://${nobody}"]
instance_list = "http://${nobody}/targets"
[logs]
level = "error"
`,
  );
  child = spawn(process.execPath, [BINARY, '--settings', path], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  origin = `http://${callers}`;
  await waitUntilAlive();
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

async function waitUntilAlive(): Promise<void> {
  for (let tries = 0; tries < READY_TRIES; tries += 1) {
    try {
      const response = await fetch(`${origin}/healthz`);
      await response.arrayBuffer();
      return;
    } catch {
      await new Promise(resolve => setTimeout(resolve, READY_PAUSE_MS));
    }
  }
  throw new Error('the entry instance did not start');
}

function sortNames(matches: readonly RegExpMatchArray[]): string[] {
  return [...new Set(matches.map(([, name = '']) => name))].sort();
}

async function openSession(): Promise<string> {
  const {status, body} = await callAsDescribed(origin, 'openSession');
  assert.equal(status, 201);
  return sessionAnswerSchema.parse(body).session;
}

test('every path takes the methods that are described and no others', () =>
  checkMethods(origin, Listener.Callers));

test('health, readiness and metrics answer as described', async () => {
  assert.equal((await callAsDescribed(origin, 'readHealth')).status, 200);
  await callAsDescribed(origin, 'readReadiness');
  assert.equal((await callAsDescribed(origin, 'readMetrics')).status, 200);
});

test("the operators' page lists the metrics that are there, and no others", async () => {
  const page = readFileSync(
    new URL('../../../../docs/operators.md', import.meta.url),
    'utf8',
  );
  const response = await fetch(`${origin}/metrics`);
  const shown = [...(await response.text()).matchAll(METRIC)];
  const listed = [...page.matchAll(LISTED_METRIC)];
  assert.deepEqual(sortNames(listed), sortNames(shown));
});

test('a session opens and ends, and a job of it answers as described', async () => {
  const session = await openSession();
  const task = {service: 'nobody-serves-this', payload: {}};
  const parts = {session, key: 'k1'};
  const submitted = await callAsDescribed(origin, 'submitJob', {
    ...parts,
    query: '?attempt=1&wait=10',
    body: {deadlineMs: 200, tasks: [task]},
  });
  if (submitted.status < 400) jobAnswerSchema.parse(submitted.body);
  await callAsDescribed(origin, 'readJob', {...parts, query: '?wait=10'});
  await callAsDescribed(origin, 'cancelJob', parts);
  const ended = await callAsDescribed(origin, 'endSession', {session});
  assert.equal(ended.status, 204);
  const late = await callAsDescribed(origin, 'readJob', parts);
  assert.equal((late.body as Failure).code, FailureCode.SessionEnded);
});

const wrong: ReadonlyArray<[string, string, unknown, FailureCode]> = [
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
for (const [what, query, body, code] of wrong) {
  test(`a job with ${what} is refused as described`, async () => {
    const session = await openSession();
    const parts = {session, query, body};
    const refused = await callAsDescribed(origin, 'submitJob', parts);
    assert.equal((refused.body as Failure).code, code);
  });
}

test('unknown sessions and jobs answer as described', async () => {
  const unknown = await callAsDescribed(origin, 'readJob', {key: 'k'});
  assert.equal((unknown.body as Failure).code, FailureCode.NotFound);
  const session = await openSession();
  const missing = await callAsDescribed(origin, 'readJob', {session});
  assert.equal((missing.body as Failure).code, FailureCode.JobUnknown);
});

test('a plain submission answers as described while the platform is out', async () => {
  const tasks = [{service: 'quotes', payload: {}}];
  const refused = await callAsDescribed(origin, 'submitPlainJob', {
    headers: {'idempotency-key': 'tag-1'},
    body: {tasks},
  });
  assert.equal((refused.body as Failure).code, FailureCode.PlatformUnavailable);
});
