/**
 * Allocates ports below the ephemeral range, so that the operating system does
 * not assign them to outgoing connections while nothing listens on them.
 */
import {createServer, type Server} from 'node:net';
import {sleep} from '@goldcrestpier/runtime';

/** All stand-ins listen on the loopback address only. */
export const HOST = '127.0.0.1';

/** Ports that are bound as soon as they are chosen. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 10_000;

/** Ports that are passed to another process, which binds them later. */
const FIRST_RESERVED_PORT = 20_000;
const RESERVED_PORT_COUNT = 12_000;
/** Size of each process's share of the reserved ports, to avoid collisions. */
const PORTS_PER_LAUNCHER = 64;

const RETRY_INTERVAL_MS = 20;

let reservedCount = 0;

/** Listens on `port`, or on a free one for 0. Rejects if it is in use. */
export async function listenOn(server: Server, port: number): Promise<number> {
  if (port !== 0) {
    await listenOnce(server, port);
    return port;
  }
  for (;;) {
    const chosen = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    try {
      await listenOnce(server, chosen);
      return chosen;
    } catch (cause) {
      if (!isAddressInUse(cause)) throw cause;
    }
  }
}

/** Listens on `port` again, retrying until it is free or no longer needed. */
export async function resumeListening(
  server: Server,
  port: number,
  isStillNeeded: () => boolean,
): Promise<void> {
  while (isStillNeeded() && !server.listening) {
    try {
      await listenOnce(server, port);
    } catch {
      await sleep(RETRY_INTERVAL_MS);
    }
  }
  // `isStillNeeded` may have changed while the server began to listen.
  if (!isStillNeeded() && server.listening) server.close();
}

/** Finds a port on which nothing listens; a different one on each call. */
export async function findFreePort(): Promise<number> {
  for (;;) {
    const offset = process.pid * PORTS_PER_LAUNCHER + reservedCount;
    reservedCount += 1;
    const port = FIRST_RESERVED_PORT + (offset % RESERVED_PORT_COUNT);
    const server = createServer();
    try {
      await listenOnce(server, port);
    } catch {
      continue;
    }
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

function listenOnce(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const settle = (cause?: Error) => {
      server.off('error', settle);
      server.off('listening', settle);
      if (cause === undefined) resolve();
      else reject(cause);
    };
    server.once('error', settle);
    server.once('listening', settle);
    server.listen(port, HOST);
  });
}

function isAddressInUse(cause: unknown): boolean {
  return (cause as NodeJS.ErrnoException).code === 'EADDRINUSE';
}
