import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {ServiceError} from './fault.js';
import {keyValueFaultsSchema, type KeyValueFaults} from './faults.js';
import {
  CallKind,
  callPaths,
  KeyValueService,
  type CallCounts,
} from './service.js';

/** How often leases are looked at while nobody calls. */
const EXPIRY_INTERVAL_MS = 100;

/** Where the stand-in listens. */
export interface KeyValueListen {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

/** A running stand-in of the key-value service. */
export interface RunningKeyValue {
  /** `http://host:port`. */
  readonly address: string;
  /** Sets the faults; what is not named is off. */
  setFaults(faults: Partial<KeyValueFaults>): void;
  /** How often each kind of call arrived since the start. */
  readCounts(): CallCounts;
  close(): Promise<void>;
}

/** Starts a key-value service that keeps everything in memory. */
export async function startKeyValue(
  listen: KeyValueListen,
): Promise<RunningKeyValue> {
  const listener = new KeyValueListener();
  const server = createServer((request, response) => {
    void listener.serve(request, response);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });
  const expiry = setInterval(() => listener.expire(), EXPIRY_INTERVAL_MS);
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `http://${address}:${port}`,
    setFaults: faults => listener.setFaults(faults),
    readCounts: () => ({...listener.service.counts}),
    close: async () => {
      clearInterval(expiry);
      await closeServer(server);
    },
  };
}

class KeyValueListener {
  readonly service = new KeyValueService();
  private faults = keyValueFaultsSchema.parse({});
  private writes = 0;

  expire(): void {
    this.service.leases.expire(readClock());
  }

  setFaults(faults: unknown): void {
    const parsed = keyValueFaultsSchema.safeParse(faults);
    if (!parsed.success) throw new ServiceError(400, 3, parsed.error.message);
    this.faults = parsed.data;
    if (this.faults.lapseLeases) this.service.leases.lapseAll();
    if (this.faults.dropWatches || this.faults.down) {
      this.service.watches.dropAll();
    }
  }

  /** Serves one request. Never rejects. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.answer(request, response);
    } catch (cause) {
      answerError(response, cause);
    }
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? '';
    if (path.startsWith('/admin/')) {
      await this.administer(request, response);
      return;
    }
    const kind = callPaths.get(path);
    if (kind === undefined || request.method !== 'POST') {
      throw new ServiceError(404, 5, 'Not Found');
    }
    this.service.counts[kind] += 1;
    if (this.faults.down) {
      request.socket.destroy();
      return;
    }
    await this.call(kind, await readBody(request), response);
  }

  private async call(
    kind: CallKind,
    body: unknown,
    response: ServerResponse,
  ): Promise<void> {
    await this.waitWhileSlow();
    if (kind === CallKind.Watch) {
      this.service.watch(body, response, readClock());
      return;
    }
    const before = this.service.changes;
    const answer = this.service.call(kind, body, readClock());
    if (this.service.changes > before && this.losesAnswer()) {
      response.destroy();
      return;
    }
    await this.waitWhileSlow();
    answerJson(response, 200, answer);
  }

  /** Half before the call takes effect and half after it. */
  private async waitWhileSlow(): Promise<void> {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs / 2);
  }

  private losesAnswer(): boolean {
    if (this.faults.loseAnswers === 0) return false;
    this.writes += 1;
    return this.writes % this.faults.loseAnswers === 0;
  }

  private async administer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case 'PUT /admin/faults':
        this.setFaults(await readBody(request));
        answerJson(response, 200, this.faults);
        return;
      case 'GET /admin/counts':
        answerJson(response, 200, this.service.counts);
        return;
      default:
        throw new ServiceError(404, 5, 'Not Found');
    }
  }
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  try {
    return await json(request);
  } catch {
    throw new ServiceError(400, 3, 'the body is not JSON');
  }
}

function answerError(response: ServerResponse, cause: unknown): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  if (cause instanceof ServiceError) {
    const {status, code, message} = cause;
    answerJson(response, status, {error: message, code, message});
    return;
  }
  answerJson(response, 500, {error: String(cause), code: 13});
}

function answerJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}

async function closeServer(server: Server): Promise<void> {
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}
