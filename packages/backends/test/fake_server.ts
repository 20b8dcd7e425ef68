/** A tiny HTTP server for tests, whose answers each test writes itself. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Answers one request. */
export type Answer = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

/** A listening fake server. */
export interface FakeServer {
  readonly address: string;
  /** Bodies of the requests that arrived whole. */
  readonly bodies: string[];
  /** Connections that are open. */
  readonly connections: ReadonlySet<Socket>;
  close(): Promise<void>;
}

/** Opens a fake server on a free port of the loopback. */
export async function openFakeServer(answer: Answer): Promise<FakeServer> {
  const bodies: string[] = [];
  const connections = new Set<Socket>();
  const server = createServer((request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => (body += chunk.toString()));
    request.on('end', () => {
      bodies.push(body);
      answer(request, response, body);
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
    bodies,
    connections,
    close: () =>
      new Promise(resolve => {
        server.closeAllConnections();
        server.close(() => resolve());
      }),
  };
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}

/** Waits until `condition` holds; fails after a generous time. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const end = performance.now() + 20_000;
  while (!condition()) {
    if (performance.now() > end) throw new Error('the condition never held');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
