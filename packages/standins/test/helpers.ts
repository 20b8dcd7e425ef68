/** Helpers shared by the tests of this package. */
import {after} from 'node:test';
import {Lifecycle, sleep} from '@goldcrestpier/runtime';
import {Agent, request} from 'undici';

const WAIT_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 5;

/** A response with its parsed JSON body. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Sends a JSON request. */
export type SendRequest = (
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  address: string,
  path: string,
  body?: unknown,
) => Promise<JsonResponse>;

/** Opens a `Lifecycle` that closes after the tests of the file. */
export function openLifecycle(): Lifecycle {
  const lifecycle = new Lifecycle('test');
  after(async () => {
    await lifecycle.close();
  });
  return lifecycle;
}

/** Creates a sender with its own connections, closed with `lifecycle`. */
export function createSend(lifecycle: Lifecycle): SendRequest {
  const dispatcher = new Agent({connections: 100});
  lifecycle.own('client connections', () => dispatcher.destroy());
  return async (method, address, path, body) => {
    const response = await request(`http://${address}${path}`, {
      method,
      dispatcher,
      headers: {'content-type': 'application/json'},
      body: body === undefined ? null : JSON.stringify(body),
    });
    return {
      status: response.statusCode,
      body: await response.body.json(),
    };
  };
}

/** Waits until `isFulfilled` returns true; throws after a timeout. */
export async function waitUntil(
  description: string,
  isFulfilled: () => boolean | Promise<boolean>,
): Promise<void> {
  const timeoutAt = Date.now() + WAIT_TIMEOUT_MS;
  while (!(await isFulfilled())) {
    if (Date.now() > timeoutAt)
      throw new Error(`timed out waiting until ${description}`);
    await sleep(POLL_INTERVAL_MS);
  }
}
