/**
 * HTTP proxy in front of one runner, which stands for the network: it can hold a
 * call back, so that its sender gets no answer, and deliver it later to whatever
 * process then listens at the runner's address.
 */
import {Buffer} from 'node:buffer';
import {Agent, createServer, request as send} from 'node:http';
import {setTimeout} from 'node:timers';

/**
 * Starts a proxy to `target`. `chooseDelay` is asked for each call: undefined
 * passes it on at once, a number delivers it that many ms later, unanswered.
 */
export function startProxy({host, port, target, chooseDelay, onLate}) {
  const agent = new Agent({keepAlive: true, maxSockets: 64});
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      const call = toCall(request, body);
      const delayMs = chooseDelay?.(call);
      if (delayMs === undefined) return pass(call, response);
      setTimeout(() => deliverLate(call), delayMs);
    });
  });
  const options = ({method, path, headers}) => ({
    ...target,
    method,
    path,
    headers,
    agent,
  });
  function pass(call, response) {
    const upstream = send(options(call), answer => {
      response.writeHead(answer.statusCode, answer.headers);
      answer.pipe(response);
      answer.on('error', () => response.destroy());
    });
    // A dead runner refuses or resets connections, and so does the proxy.
    upstream.on('error', () => response.destroy());
    response.on('close', () => upstream.destroy());
    upstream.end(call.body);
  }
  function deliverLate(call) {
    const upstream = send({...options(call), agent: undefined}, answer => {
      const parts = [];
      answer.on('data', part => parts.push(part));
      answer.on('end', () => {
        const text = Buffer.concat(parts).toString('utf8');
        onLate?.(call, `${answer.statusCode} ${text}`);
      });
    });
    upstream.on('error', error => onLate?.(call, error.code));
    upstream.end(call.body);
  }
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, () => resolve(server));
  });
}

function toCall({method, url: path, headers}, body) {
  return {method, path, headers, body, text: body.toString('utf8')};
}
