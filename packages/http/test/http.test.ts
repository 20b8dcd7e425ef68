import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import {z} from 'zod';
import {
  formatAuthorization,
  isAuthorized,
  readJson,
  respondFailure,
  respondJson,
} from '../src/index.js';

const LIMIT_BYTES = 100;
const schema = z.strictObject({name: z.string('expected a name')});
let origin: string;

const server = createServer((request, response) => {
  if (!isAuthorized(request, 'the right token')) {
    const args = {listener: 'test'};
    const failure = createFailure(FailureCode.Unauthorized, args, {
      retryAfterMs: 1_200,
    });
    return respondFailure(response, failure);
  }
  void readJson(request, schema, LIMIT_BYTES).then(body =>
    body.isOk()
      ? respondJson(response, 200, body.value)
      : respondFailure(response, body.error),
  );
});

before(async () => {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});
after(() => {
  server.closeAllConnections();
  server.close();
});

async function send(body: string, token = 'the right token') {
  const headers = {authorization: formatAuthorization(token)};
  const response = await fetch(origin, {method: 'POST', body, headers});
  const answer = (await response.json()) as {code?: string; message?: string};
  return {response, answer};
}

test('a body that matches the schema is accepted', async () => {
  const {answer} = await send('{"name":"jetty"}');
  assert.deepEqual(answer, {name: 'jetty'});
});

test('a body over the limit gets a response instead of a closed connection', async () => {
  const {response, answer} = await send('x'.repeat(1_000_000));
  assert.equal(response.status, 413);
  assert.equal(answer.code, FailureCode.BodyTooLarge);
});

test('invalid JSON and an invalid field give different failures', async () => {
  assert.equal((await send('{')).answer.code, FailureCode.InvalidJson);
  const {answer} = await send('{"name":7}');
  assert.equal(answer.message, 'name: found 7, expected a name.');
});

for (const token of ['', 'the right toke', 'the right tokenn']) {
  test(`the token "${token}" is rejected with Retry-After in seconds`, async () => {
    const {response} = await send('{"name":"jetty"}', token);
    assert.equal(response.status, 401);
    assert.equal(response.headers.get('retry-after'), '2');
    assert.equal(response.headers.get('www-authenticate'), 'Bearer');
  });
}
