/** A small HTTP server with JSON bodies, for the stand-ins. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {URL} from 'node:url';

/**
 * Starts a server. `handle` gets the decoded request and returns
 * `{status, body}`, or undefined to leave the request without an answer.
 */
export function startJsonServer(handle, host, port) {
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', async () => {
      const text = Buffer.concat(chunks).toString('utf8');
      const {method, headers} = request;
      const url = new URL(request.url, 'http://stand-in');
      const body = text === '' ? {} : JSON.parse(text);
      const answer = await handle({method, url, headers, body});
      if (answer === undefined || response.destroyed) return;
      response.writeHead(answer.status, {'content-type': 'application/json'});
      response.end(JSON.stringify(answer.body ?? {}));
    });
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, () => resolve(server));
  });
}
