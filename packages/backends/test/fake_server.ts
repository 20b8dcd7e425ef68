/** HTTP server for tests; each test provides its own request handler. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Handles one request whose body has been received. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

/** A fake server that is listening. */
export interface FakeServer {
  readonly address: string;
  /** Bodies of the requests that were received completely. */
  readonly requestBodies: string[];
  /** Currently open connections. */
  readonly connections: ReadonlySet<Socket>;
  close(): Promise<void>;
}

/** Starts a fake server on a free port of the loopback interface. */
export async function startFakeServer(
  handleRequest: RequestHandler,
): Promise<FakeServer> {
  const bodies: string[] = [];
  const connections = new Set<Socket>();
  const server = createServer((request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => (body += chunk.toString()));
    request.on('end', () => {
      bodies.push(body);
      handleRequest(request, response, body);
    });
  });
  server.on('connection', socket => {
    connections.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => connections.delete(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requestBodies: bodies,
    connections,
    close: () =>
      new Promise(resolve => {
        server.closeAllConnections();
        server.close(() => resolve());
      }),
  };
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}

/** Waits until `condition` returns true; throws after 20 s. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const timeoutAt = performance.now() + 20_000;
  while (!condition()) {
    if (performance.now() > timeoutAt)
      throw new Error('condition was not met within 20 s');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
