/** Starts key-value services and clients, closed when the test file ends. */
import {after} from 'node:test';
import {Lifecycle, silentLogger} from '@goldcrestpier/runtime';
import {startKeyValue, type RunningKeyValue} from '@goldcrestpier/standins';
import {KeyValueClient} from '../src/index.js';

/** Owns the resources of a test file. */
export const lifecycle = new Lifecycle('test');
after(() => lifecycle.close());

/** Starts a key-value service on a free port. */
export async function startService(
  owner = lifecycle,
): Promise<RunningKeyValue> {
  const service = await startKeyValue({host: '127.0.0.1', port: 0});
  owner.own('service', () => service.close());
  return service;
}

/** Creates a client that tries the endpoints in the given order. */
export function createClient(
  endpoints: readonly string[],
  {timeoutMs = 5_000, owner = lifecycle} = {},
): KeyValueClient {
  const options = {timeoutMs, logger: silentLogger, lifecycle: owner};
  return new KeyValueClient({endpoints, ...options});
}
