/** What the tests of the stand-ins share. */
import {after} from 'node:test';
import {Lifecycle, sleep} from '@goldcrestpier/runtime';
import {Agent, request} from 'undici';

const PATIENCE_MS = 20_000;
const POLL_MS = 5;

/** An answer with its JSON body. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** Sends one JSON request. */
export type Send = (
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  address: string,
  path: string,
  body?: unknown,
) => Promise<Answer>;

/** A life cycle that closes when the tests of the file are over. */
export function openLifecycle(): Lifecycle {
  const lifecycle = new Lifecycle('test');
  after(async () => {
    await lifecycle.close();
  });
  return lifecycle;
}

/** A sender with its own connections, closed with `lifecycle`. */
export function createSend(lifecycle: Lifecycle): Send {
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

/** Waits until `holds` returns true; throws when patience runs out. */
export async function waitUntil(
  what: string,
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = Date.now() + PATIENCE_MS;
  while (!(await holds())) {
    if (Date.now() > end) throw new Error(`waited in vain until ${what}`);
    await sleep(POLL_MS);
  }
}
