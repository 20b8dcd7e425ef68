/**
 * Ports that stay free while nobody listens on them: below the range from
 * which the system takes the ports of outgoing connections.
 */
import {createServer, type Server} from 'node:net';
import {sleep} from '@goldcrestpier/runtime';

/** Everything here listens on this address only. */
export const HOST = '127.0.0.1';

/** Ports that are listened on as soon as they are chosen. */
const FIRST_PORT = 10_000;
const PORTS = 10_000;

/** Ports that another process is told to listen on a while later. */
const FIRST_RESERVED_PORT = 20_000;
const RESERVED_PORTS = 12_000;
/** Keeps launchers that run side by side apart. */
const PORTS_PER_LAUNCHER = 64;

const RETRY_MS = 20;

let reserved = 0;

/** Listens on `port`, or a free one for 0. Rejects when it is taken. */
export async function listenOn(server: Server, port: number): Promise<number> {
  if (port !== 0) {
    await tryPort(server, port);
    return port;
  }
  for (;;) {
    const chosen = FIRST_PORT + Math.floor(Math.random() * PORTS);
    try {
      await tryPort(server, chosen);
      return chosen;
    } catch (cause) {
      if (!isTaken(cause)) throw cause;
    }
  }
}

/** Listens on `port` again, as soon as it is free. */
export async function listenAgain(
  server: Server,
  port: number,
  isWanted: () => boolean,
): Promise<void> {
  while (isWanted() && !server.listening) {
    try {
      await tryPort(server, port);
    } catch {
      await sleep(RETRY_MS);
    }
  }
  // It may have become unwanted while it began to listen.
  if (!isWanted() && server.listening) server.close();
}

/** Finds a port that nobody listens on; never the same one twice. */
export async function findFreePort(): Promise<number> {
  for (;;) {
    const place = process.pid * PORTS_PER_LAUNCHER + reserved;
    reserved += 1;
    const port = FIRST_RESERVED_PORT + (place % RESERVED_PORTS);
    const server = createServer();
    try {
      await tryPort(server, port);
    } catch {
      continue;
    }
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

function tryPort(server: Server, port: number): Promise<void> {
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

function isTaken(cause: unknown): boolean {
  return (cause as NodeJS.ErrnoException).code === 'EADDRINUSE';
}
