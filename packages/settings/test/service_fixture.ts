/** A key-value service and clients of it, closed with the test file. */
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

/** Closes what a test file opened. */
export const lifecycle = new Lifecycle('test');
after(() => lifecycle.close());

/** Starts a key-value service on a port of its own. */
export async function startService(): Promise<RunningKeyValue> {
  const service = await startKeyValue({host: '127.0.0.1', port: 0});
  lifecycle.own('service', () => service.close());
  return service;
}

/** Creates a client that tries the endpoints in this order. */
export function createClient(...endpoints: string[]): KeyValueClient {
  const options = {timeoutMs: 5_000, logger: silentLogger, lifecycle};
  return new KeyValueClient({endpoints, ...options});
}

/** An edit of one setting. */
export function setWaiting(value: unknown, node = '/'): SettingsEdit {
  return {kind: EditKind.Set, node, key: 'queue.max_waiting', value};
}

/** Makes the edit and answers the revision that it became. */
export async function writeWaiting(
  client: KeyValueClient,
  value: number,
  readApplied?: () => number,
): Promise<number> {
  const store = new SettingsStore(client, silentLogger, readApplied);
  const edits = [setWaiting(value)];
  const request = {editId: createEditId(), by: 'maria', edits};
  return (await store.edit(request, new Date(0))).unwrap().revision;
}

/** Waits for as long as it takes; each test is bounded by the runner. */
export async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(5);
}
