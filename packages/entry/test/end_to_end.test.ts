import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {JobState, type JobAnswer} from '@goldcrestpier/protocol';
import {
  findFreePort,
  ChildProcesses,
  readFirstLine,
  waitUntilReady,
} from './fixtures/processes.js';

const TOKEN = 'a-token-for-this-test-only';
const processes = new ChildProcesses();
let callersUrl = '';
let runnerAdmin = '';

before(async () => {
  const backend = processes.start('./backend_process.js');
  const addresses = (await readFirstLine(backend)) as {
    list: string;
    runnerAdmin: string;
  };
  runnerAdmin = addresses.runnerAdmin;
  const port = await findFreePort();
  const path = processes.writeFile(
    'entry.toml',
    `zone = "batangas-1"
instance = "e1"
[callers]
listen = "127.0.0.1:${port}"
[peers]
listen = "127.0.0.1:${await findFreePort()}"
token = "${TOKEN}"
[operators]
listen = "127.0.0.1:${await findFreePort()}"
token = "${TOKEN}"
[platform]
key_value = ["http://127.0.0.1:9"]
instance_list = "http://${addresses.list}/targets"
[logs]
level = "warn"
`,
  );
  processes.start('../../src/bin/goldcrestpier.js', '--settings', path);
  callersUrl = `http://127.0.0.1:${port}`;
  await waitUntilReady(`${callersUrl}/readyz`);
});

after(() => processes.close());

test('a job sent to an entry process is run once and its results are returned', async () => {
  const opened = await fetch(`${callersUrl}/v1/sessions`, {method: 'POST'});
  assert.equal(opened.status, 201);
  const {session} = (await opened.json()) as {session: string};
  const tasks = [0, 1, 2].map(number => ({
    service: 'invoicing',
    payload: {runMs: 20, echo: number},
  }));
  const url = `${callersUrl}/v1/sessions/${session}/jobs/quote-1?attempt=1&wait=30000`;
  const submit = () =>
    fetch(url, {method: 'PUT', body: JSON.stringify({tasks})});
  const first = await submit();
  const answer = (await first.json()) as JobAnswer;
  assert.equal(answer.state, JobState.Complete);
  assert.deepEqual(
    answer.tasks.map(task => (task.result as {echo: number}).echo),
    [0, 1, 2],
  );
  const repeated = (await (await submit()).json()) as JobAnswer;
  assert.deepEqual(repeated, answer);

  const record = await fetch(`http://${runnerAdmin}/admin/starts`);
  const starts = JSON.stringify(await record.json());
  for (const index of [0, 1, 2]) {
    assert.equal(starts.split(`quote-1#${index}`).length, 2);
  }
});

test('a body that is not JSON is refused with "not run"', async () => {
  const opened = await fetch(`${callersUrl}/v1/sessions`, {method: 'POST'});
  const {session} = (await opened.json()) as {session: string};
  const refused = await fetch(
    `${callersUrl}/v1/sessions/${session}/jobs/broken`,
    {method: 'PUT', body: '{"tasks": ['},
  );
  assert.equal(refused.status, 400);
  const failure = (await refused.json()) as {code: string; ran: string};
  assert.equal(failure.code, 'invalid_json');
  assert.equal(failure.ran, 'not_run');
});
