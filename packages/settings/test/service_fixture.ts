/** Starts key-value services and clients, closed when the test file ends. */
import {after} from 'node:test';
import {KeyValueClient} from '@goldcrestpier/platform';
import {Lifecycle, silentLogger, sleep} from '@goldcrestpier/runtime';
import {startKeyValue, type RunningKeyValue} from '@goldcrestpier/standins';
import {
  createEditId,
  EditKind,
  SettingsStore,
  type SettingsEdit,
} from '../src/index.js';

/** Owns the resources of a test file. */
export const lifecycle = new Lifecycle('test');
after(() => lifecycle.close());

/** Starts a key-value service on a free port. */
export async function startService(): Promise<RunningKeyValue> {
  const service = await startKeyValue({host: '127.0.0.1', port: 0});
  lifecycle.own('service', () => service.close());
  return service;
}

/** Creates a client that tries the endpoints in the given order. */
export function createClient(...endpoints: string[]): KeyValueClient {
  const options = {timeoutMs: 5_000, logger: silentLogger, lifecycle};
  return new KeyValueClient({endpoints, ...options});
}

/** Creates an edit that sets `queue.max_waiting`. */
export function createLimitEdit(value: unknown, node = '/'): SettingsEdit {
  return {kind: EditKind.Set, node, key: 'queue.max_waiting', value};
}

/** Sets `queue.max_waiting` and returns the new revision. */
export async function writeMaxWaiting(
  client: KeyValueClient,
  value: number,
  readAppliedRevision?: () => number,
): Promise<number> {
  const store = new SettingsStore(client, silentLogger, readAppliedRevision);
  const edits = [createLimitEdit(value)];
  const request = {editId: createEditId(), by: 'maria', edits};
  return (await store.edit(request, new Date(0))).unwrap().revision;
}

/** Polls without a timeout of its own; the test runner limits each test. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}
