/** A small JSON server and client over HTTP/1.1, on loopback addresses. */
import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';
import {URL} from 'node:url';

/**
 * Starts a server. `handle` gets the request's method, URL, headers and parsed
 * body, and resolves to {status, body}, or to undefined to reset the channel.
 */
export async function startJsonServer(host, port, handle) {
  const server = createServer(async (incoming, response) => {
    const chunks = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk);
    } catch {
      // The caller has closed the connection: there is nobody to answer.
      return;
    }
    const text = Buffer.concat(chunks).toString('utf8');
    const url = new URL(incoming.url, 'http://standin');
    const body = text === '' ? {} : JSON.parse(text);
    const {method, headers} = incoming;
    const answer = await handle({method, url, headers, body});
    if (response.destroyed) return;
    if (answer === undefined) {
      incoming.socket.destroy();
      return;
    }
    const bytes = Buffer.from(JSON.stringify(answer.body ?? {}));
    response.writeHead(answer.status, {
      'content-type': 'application/json',
      'content-length': bytes.length,
    });
    response.end(bytes);
  });
  server.keepAliveTimeout = 120_000;
  const sockets = new Set();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, resolve);
  });
  return {
    port: server.address().port,
    resetConnections: () => server.closeAllConnections(),
    /** Lets the open channels go silent for good; new ones work. */
    silence: () => {
      for (const socket of sockets) {
        socket.pause();
        socket.write = () => true;
      }
    },
    close: () =>
      new Promise(resolve => {
        server.close(resolve);
        server.closeAllConnections();
      }),
  };
}

/**
 * Sends one request on a channel of its own. Resolves to {status, body}; status
 * 0 if the channel broke or `timeoutMs` has passed.
 */
export function sendJson(address, method, path, options = {}) {
  const {headers = {}, body, timeoutMs = 5_000, onSocket} = options;
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise(resolve => {
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          connection: 'close',
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
          ...headers,
        },
      },
      async response => {
        const chunks = [];
        try {
          for await (const chunk of response) chunks.push(chunk);
        } catch {
          resolve({status: 0, body: undefined});
          return;
        }
        const answer = Buffer.concat(chunks).toString('utf8');
        const {'retry-after': retryAfter} = response.headers;
        resolve({status: response.statusCode, body: answer, retryAfter});
      },
    );
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy());
    outgoing.on('error', () => resolve({status: 0, body: undefined}));
    if (onSocket !== undefined) outgoing.on('socket', onSocket);
    outgoing.end(text);
  });
}
