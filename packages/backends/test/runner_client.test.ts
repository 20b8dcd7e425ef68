import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {Lifecycle} from '@goldcrestpier/runtime';
import {
  createRunnerClient,
  StartKind,
  type StartOutcome,
} from '../src/index.js';
import {
  startFakeServer,
  sendJson,
  waitUntil,
  type RequestHandler,
} from './fake_server.js';

const LONG_TIMEOUT_MS = 20_000;
const task = {job: 's/k', task: 's/k#0', payload: {item: 7}};
const lifecycle = new Lifecycle('test');
const client = createRunnerClient({lifecycle, maxResponseBytes: 1_000});
const signal = new AbortController().signal;

after(() => lifecycle.close());

async function startOn(
  handleRequest: RequestHandler,
  timeoutMs = LONG_TIMEOUT_MS,
): Promise<{outcome: StartOutcome; requests: number}> {
  const server = await startFakeServer(handleRequest);
  const address = {name: 'r1', address: server.address};
  const outcome = await client.start(address, task, timeoutMs, signal);
  await server.close();
  return {outcome, requests: server.requestBodies.length};
}

test('a successful start returns the result and its run time', async () => {
  const {outcome} = await startOn((_request, response, body) =>
    sendJson(response, 200, {result: JSON.parse(body) as unknown}),
  );
  assert.equal(outcome.kind, StartKind.Done);
  assert.deepEqual(outcome.result, task);
  assert.ok(outcome.runMs >= 0);
});

const responseCases: Array<[number, unknown, StartKind]> = [
  [429, {code: 'busy'}, StartKind.Busy],
  [503, {code: 'leaving'}, StartKind.Leaving],
  [500, {code: 'failed', reason: 'no ink'}, StartKind.Failed],
  [200, {result: null}, StartKind.Done],
  [200, {}, StartKind.Failed],
  [200, 'text', StartKind.Failed],
  // An error code with the wrong status proves nothing.
  [500, {code: 'busy'}, StartKind.Unknown],
  [502, 'bad gateway', StartKind.Unknown],
  [404, {}, StartKind.Unknown],
];

for (const [status, body, kind] of responseCases) {
  test(`${status} ${JSON.stringify(body)} maps to ${kind}`, async () => {
    const {outcome} = await startOn((_request, response) =>
      sendJson(response, status, body),
    );
    assert.equal(outcome.kind, kind);
  });
}

test('a refused connection proves that the task did not run', async () => {
  const server = await startFakeServer(() => undefined);
  await server.close();
  const address = {name: 'r1', address: server.address};
  const outcome = await client.start(address, task, LONG_TIMEOUT_MS, signal);
  assert.equal(outcome.kind, StartKind.Refused);
});

test('an address to which no request can be sent proves that the task did not run', async () => {
  for (const address of ['127.0.0.1:65536', '[:1', '%:1', '']) {
    const runner = {name: 'r1', address};
    const outcome = await client.start(runner, task, LONG_TIMEOUT_MS, signal);
    assert.equal(outcome.kind, StartKind.Refused, address);
  }
});

test('a connection reset after a start is unknown and not retried', async () => {
  const {outcome, requests} = await startOn(request =>
    request.socket.resetAndDestroy(),
  );
  assert.equal(outcome.kind, StartKind.Unknown);
  assert.equal(requests, 1);
});

test('a connection closed during the response is unknown', async () => {
  const {outcome, requests} = await startOn((request, response) => {
    response.writeHead(200, {'content-length': '100'});
    response.write('{"result":');
    setTimeout(() => request.socket.destroy(), 10);
  });
  assert.equal(outcome.kind, StartKind.Unknown);
  assert.equal(requests, 1);
});

test('an unresponsive runner is unknown after the timeout', async () => {
  const {outcome} = await startOn(() => undefined, 50);
  assert.deepEqual(outcome, {kind: StartKind.Unknown, reason: 'timeout'});
});

test('a response above the size limit is rejected', async () => {
  const {outcome} = await startOn((_request, response) =>
    sendJson(response, 200, {result: 'x'.repeat(2_000)}),
  );
  assert.deepEqual(outcome, {
    kind: StartKind.Unknown,
    reason: 'response body too large',
  });
});

test('aborting a start closes the connection to the runner', async () => {
  const server = await startFakeServer(() => undefined);
  const controller = new AbortController();
  const address = {name: 'r1', address: server.address};
  const outcomePromise = client.start(
    address,
    task,
    LONG_TIMEOUT_MS,
    controller.signal,
  );
  await waitUntil(() => server.requestBodies.length === 1);
  controller.abort();
  assert.deepEqual(await outcomePromise, {kind: StartKind.Stopped, sent: true});
  await waitUntil(() => server.connections.size === 0);
  await server.close();
});

test('connections to one runner are limited and queued starts are not sent', async () => {
  const server = await startFakeServer(() => undefined);
  const boundedLifecycle = new Lifecycle('bounded');
  const boundedClient = createRunnerClient({
    lifecycle: boundedLifecycle,
    connections: 2,
  });
  const controller = new AbortController();
  const address = {name: 'r1', address: server.address};
  const starts = Array.from({length: 3}, () =>
    boundedClient.start(address, task, LONG_TIMEOUT_MS, controller.signal),
  );
  await waitUntil(() => server.requestBodies.length === 2);
  assert.equal(server.connections.size, 2);
  controller.abort();
  const outcomes = await Promise.all(starts);
  const sent = outcomes.map(
    outcome => outcome.kind === StartKind.Stopped && outcome.sent,
  );
  assert.deepEqual(sent, [true, true, false]);
  assert.equal(server.requestBodies.length, 2);
  await boundedLifecycle.close();
  await server.close();
});

test('a start is sent at most once when the runner closes a keep-alive connection', async () => {
  let requestCount = 0;
  const server = await startFakeServer((request, response) => {
    requestCount += 1;
    if (requestCount > 1) return request.socket.destroy();
    sendJson(response, 200, {result: 1});
  });
  const address = {name: 'r1', address: server.address};
  const first = await client.start(address, task, LONG_TIMEOUT_MS, signal);
  assert.equal(first.kind, StartKind.Done);
  const second = await client.start(address, task, LONG_TIMEOUT_MS, signal);
  assert.equal(second.kind, StartKind.Unknown);
  assert.equal(server.requestBodies.length, 2);
  await server.close();
});
