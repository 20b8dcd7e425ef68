import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {after, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {openSnapshots} from '@goldcrestpier/testing';
import {startKeyValue, type RunningKeyValue} from '../src/index.js';

const snapshots = openSnapshots(import.meta.url);
const services: RunningKeyValue[] = [];
after(() => Promise.all(services.map(service => service.close())));

async function startService(): Promise<RunningKeyValue> {
  const service = await startKeyValue({host: '127.0.0.1', port: 0});
  services.push(service);
  return service;
}

function encode(text: string): string {
  return Buffer.from(text).toString('base64');
}

async function call(address: string, path: string, body: unknown) {
  const response = await fetch(`${address}${path}`, {
    method: 'POST',
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
  return {status: response.status, answer: await response.json()};
}

test('responses have the JSON format of the etcd gateway, without zero fields', async () => {
  const {address} = await startService();
  const key = encode('key');
  const put = {key, value: encode('value')};
  const steps: Array<readonly [path: string, body: unknown]> = [
    ['/v3/kv/range', {key}],
    ['/v3/kv/put', put],
    ['/v3/kv/put', {...put, prev_kv: true}],
    ['/v3/kv/range', {key: encode('k'), range_end: encode('l'), limit: '1'}],
    [
      '/v3/kv/txn',
      {
        compare: [{key, target: 'VERSION', result: 'GREATER', version: '1'}],
        success: [
          {request_delete_range: {key}},
          {request_txn: {success: [{request_range: {key}}]}},
        ],
        failure: [{request_put: put}],
      },
    ],
    ['/v3/lease/grant', {TTL: '60', ID: '7'}],
    ['/v3/lease/keepalive', {ID: '7'}],
    ['/v3/lease/revoke', {ID: '7'}],
    ['/v3/lease/keepalive', {ID: '7'}],
  ];
  const answers = [];
  for (const [path, body] of steps) {
    answers.push({path, ...(await call(address, path, body))});
  }
  snapshots.match('answers', answers);
});

test('invalid requests and requests beyond a limit are refused with a code', async () => {
  const {address} = await startService();
  const put = {request_put: {key: encode('key')}};
  const deep = {request_txn: {success: [put]}};
  const refused: Array<readonly [path: string, body: unknown]> = [
    ['/v3/kv/range', 'no JSON'],
    ['/v3/kv/put', {value: encode('value')}],
    ['/v3/kv/put', {key: encode('key'), lease: '5'}],
    ['/v3/kv/txn', {success: [put, put]}],
    ['/v3/kv/txn', {success: [deep, put]}],
    ['/v3/kv/txn', {success: Array.from({length: 129}, () => ({}))}],
    ['/v3/kv/compaction', {revision: '99'}],
    ['/v3/lease/grant', {TTL: '0'}],
    ['/v3/nowhere', {}],
  ];
  const answers = [];
  for (const [path, body] of refused) {
    answers.push({path, ...(await call(address, path, body))});
  }
  snapshots.match('refusals', answers);
});

test('it runs as a separate process, with faults and counts over HTTP', async () => {
  const bin = fileURLToPath(new URL('../src/kv/bin.js', import.meta.url));
  const child = spawn(process.execPath, [bin, '--listen', '127.0.0.1:0'], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit');
  try {
    const [line] = (await once(createInterface(child.stdout), 'line')) as [
      string,
    ];
    const address = line.slice(line.indexOf('http://'));
    const setFaults = (faults: object) =>
      fetch(`${address}/admin/faults`, {
        method: 'PUT',
        body: JSON.stringify(faults),
      });
    assert.equal((await setFaults({fire: true})).status, 400);
    assert.equal((await setFaults({down: true})).status, 200);
    await assert.rejects(call(address, '/v3/kv/range', {}));
    await setFaults({loseAnswers: 1});
    const put = {key: encode('key'), value: encode('value')};
    await assert.rejects(call(address, '/v3/kv/put', put));
    const {answer} = await call(address, '/v3/kv/range', {key: put.key});
    assert.equal((answer as {count: string}).count, '1');
    const counts = await fetch(`${address}/admin/counts`);
    const {range, put: puts} = (await counts.json()) as Record<string, number>;
    assert.deepEqual({range, puts}, {range: 2, puts: 1});
  } finally {
    child.kill('SIGTERM');
    await exited;
  }
  assert.equal(child.exitCode, 0);
});
