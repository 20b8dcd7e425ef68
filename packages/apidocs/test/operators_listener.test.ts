import assert from 'node:assert/strict';
import type {AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import {
  createOperatorsServer,
  type FleetOperations,
  type SettingsOperations,
} from '@goldcrestpier/operators';
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import {Err} from 'ts-results-es';
import {Listener, operations} from '../src/index.js';
import {callAndValidate, checkAllowedMethods} from './openapi_conformance.js';

const TOKEN = 'a token for operators';
const headers = {authorization: `Bearer ${TOKEN}`};
const fault = createFailure(FailureCode.InternalFault, {part: 'test'});
const server = createOperatorsServer({
  token: TOKEN,
  settings: createFailingOperations<SettingsOperations>(),
  fleet: createFailingOperations<FleetOperations>(),
  logger: silentLogger,
});
let origin: string;

before(async () => {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});
after(() => {
  server.closeAllConnections();
  server.close();
});

/** Operations that all fail in the same way, to show that they were called. */
function createFailingOperations<Operations extends object>(): Operations {
  return new Proxy({} as Operations, {
    get: () => () => Promise.resolve(Err(fault)),
  });
}

const EDIT = {
  editId: 'edit-1',
  by: 'rosa',
  edits: [{kind: 'unset', node: '/', key: 'retry.max_starts'}],
};

for (const {id, listener} of operations) {
  if (listener !== Listener.Operators) continue;
  test(`${id} calls its operation only with a valid token`, async () => {
    const query = id === 'diffSettings' ? '?from=1' : '';
    const body = id === 'editSettings' ? EDIT : undefined;
    const parts = {query, body, headers};
    const reached = await callAndValidate(origin, id, parts);
    assert.deepEqual(reached.body, fault);
    const refused = await callAndValidate(origin, id, {query, body});
    const {code} = refused.body as Failure;
    assert.equal(code, FailureCode.Unauthorized);
  });
}

test('every path accepts only the described methods', () =>
  checkAllowedMethods(origin, Listener.Operators, headers));
