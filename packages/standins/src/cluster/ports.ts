/** Free ports for processes that are told theirs beforehand. */
import {createServer} from 'node:net';

const HOST = '127.0.0.1';
/** Below the range that the system takes for outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
const MOST_TRIES = 1_000;

const taken = new Set<number>();

/** Finds a port that nobody listens on; never the same one twice. */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < MOST_TRIES; tries += 1) {
    const span = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    if (taken.has(port)) continue;
    taken.add(port);
    if (await isFree(port)) return port;
  }
  throw new Error('no free port was found');
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}
