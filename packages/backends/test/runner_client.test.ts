import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {Lifecycle} from '@goldcrestpier/runtime';
import {
  createRunnerClient,
  StartKind,
  type StartOutcome,
} from '../src/index.js';
import {
  openFakeServer,
  sendJson,
  waitUntil,
  type Answer,
} from './fake_server.js';

const LONG_MS = 20_000;
const task = {job: 's/k', task: 's/k#0', payload: {item: 7}};
const lifecycle = new Lifecycle('test');
const client = createRunnerClient({lifecycle, maxAnswerBytes: 1_000});
const signal = new AbortController().signal;

after(() => lifecycle.close());

async function startOn(
  answer: Answer,
  timeoutMs = LONG_MS,
): Promise<{outcome: StartOutcome; requests: number}> {
  const server = await openFakeServer(answer);
  const address = {name: 'r1', address: server.address};
  const outcome = await client.start(address, task, timeoutMs, signal);
  await server.close();
  return {outcome, requests: server.bodies.length};
}

test('a result arrives with its run time', async () => {
  const {outcome} = await startOn((_request, response, body) =>
    sendJson(response, 200, {result: JSON.parse(body) as unknown}),
  );
  assert.equal(outcome.kind, StartKind.Done);
  assert.deepEqual(outcome.result, task);
  assert.ok(outcome.runMs >= 0);
});

const typedAnswers: Array<[number, unknown, StartKind]> = [
  [429, {code: 'busy'}, StartKind.Busy],
  [503, {code: 'leaving'}, StartKind.Leaving],
  [500, {code: 'failed', reason: 'no ink'}, StartKind.Failed],
  [200, {result: null}, StartKind.Done],
  [200, {}, StartKind.Failed],
  [200, 'text', StartKind.Failed],
  // A code under the wrong status is not proof of anything.
  [500, {code: 'busy'}, StartKind.Unknown],
  [502, 'bad gateway', StartKind.Unknown],
  [404, {}, StartKind.Unknown],
];

for (const [status, body, kind] of typedAnswers) {
  test(`${status} ${JSON.stringify(body)} is read as ${kind}`, async () => {
    const {outcome} = await startOn((_request, response) =>
      sendJson(response, status, body),
    );
    assert.equal(outcome.kind, kind);
  });
}

test('a refused connection proves that nothing ran', async () => {
  const server = await openFakeServer(() => undefined);
  await server.close();
  const address = {name: 'r1', address: server.address};
  const outcome = await client.start(address, task, LONG_MS, signal);
  assert.equal(outcome.kind, StartKind.Refused);
});

test('a connection reset after the start is unknown and not retried', async () => {
  const {outcome, requests} = await startOn(request =>
    request.socket.resetAndDestroy(),
  );
  assert.equal(outcome.kind, StartKind.Unknown);
  assert.equal(requests, 1);
});

test('a connection reset amid the answer is unknown', async () => {
  const {outcome, requests} = await startOn((request, response) => {
    response.writeHead(200, {'content-length': '100'});
    response.write('{"result":');
    setTimeout(() => request.socket.destroy(), 10);
  });
  assert.equal(outcome.kind, StartKind.Unknown);
  assert.equal(requests, 1);
});

test('a frozen runner is unknown when the time is up', async () => {
  const {outcome} = await startOn(() => undefined, 50);
  assert.deepEqual(outcome, {kind: StartKind.Unknown, reason: 'timeout'});
});

test('an answer over the size limit is not read', async () => {
  const {outcome} = await startOn((_request, response) =>
    sendJson(response, 200, {result: 'x'.repeat(2_000)}),
  );
  assert.deepEqual(outcome, {
    kind: StartKind.Unknown,
    reason: 'answer too large',
  });
});

test('giving up closes the connection to the runner', async () => {
  const server = await openFakeServer(() => undefined);
  const controller = new AbortController();
  const address = {name: 'r1', address: server.address};
  const ended = client.start(address, task, LONG_MS, controller.signal);
  await waitUntil(() => server.bodies.length === 1);
  controller.abort();
  assert.deepEqual(await ended, {kind: StartKind.Stopped, sent: true});
  await waitUntil(() => server.connections.size === 0);
  await server.close();
});

test('connections to one runner are bounded and what waits is not sent', async () => {
  const server = await openFakeServer(() => undefined);
  const own = new Lifecycle('bounded');
  const bounded = createRunnerClient({lifecycle: own, connections: 2});
  const controller = new AbortController();
  const address = {name: 'r1', address: server.address};
  const starts = Array.from({length: 3}, () =>
    bounded.start(address, task, LONG_MS, controller.signal),
  );
  await waitUntil(() => server.bodies.length === 2);
  assert.equal(server.connections.size, 2);
  controller.abort();
  const outcomes = await Promise.all(starts);
  const sent = outcomes.map(
    outcome => outcome.kind === StartKind.Stopped && outcome.sent,
  );
  assert.deepEqual(sent, [true, true, false]);
  assert.equal(server.bodies.length, 2);
  await own.close();
  await server.close();
});

test('a start on a kept-alive connection that the runner closes runs at most once', async () => {
  let served = 0;
  const server = await openFakeServer((request, response) => {
    served += 1;
    if (served > 1) return request.socket.destroy();
    sendJson(response, 200, {result: 1});
  });
  const address = {name: 'r1', address: server.address};
  const first = await client.start(address, task, LONG_MS, signal);
  assert.equal(first.kind, StartKind.Done);
  const second = await client.start(address, task, LONG_MS, signal);
  assert.equal(second.kind, StartKind.Unknown);
  assert.equal(server.bodies.length, 2);
  await server.close();
});
