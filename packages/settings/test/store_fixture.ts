/** A store of settings at the stand-in service, and requests to edit it. */
import type {KeyValueClient} from '@goldcrestpier/platform';
import {silentLogger} from '@goldcrestpier/runtime';
import {
  createEditId,
  SettingsStore,
  type EditRequest,
  type SettingsEdit,
  type SettingsTree,
} from '../src/index.js';
import {createClient, startService} from './service_fixture.js';

/** The time of all edits in these tests. */
export const AT = new Date('2024-05-06T07:08:09Z');

/** Starts a service and a store that uses it. */
export async function startStore() {
  const service = await startService();
  const client = createClient(service.address);
  return {service, client, store: new SettingsStore(client, silentLogger)};
}

/** Creates a request with an id of its own. */
export function createRequest(
  edits: readonly SettingsEdit[],
  overrides: Partial<EditRequest> = {},
): EditRequest {
  return {editId: createEditId(), by: 'maria', edits: [...edits], ...overrides};
}

/** Creates a store whose transactions are sent by `txn`. */
export function createStoreWithTxn(
  client: KeyValueClient,
  txn: KeyValueClient['txn'],
): SettingsStore {
  const replaced = Object.create(client) as KeyValueClient;
  replaced.txn = txn;
  return new SettingsStore(replaced, silentLogger);
}

/** Reads the tree; throws if the service does not return it. */
export async function readTree(store: SettingsStore): Promise<SettingsTree> {
  return (await store.read()).unwrap();
}
