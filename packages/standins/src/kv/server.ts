import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {ServiceError} from './service_error.js';
import {keyValueFaultsSchema, type KeyValueFaults} from './faults.js';
import {
  CallKind,
  callPaths,
  KeyValueService,
  type CallCounts,
} from './service.js';

/** How often leases are expired while no requests arrive. */
const LEASE_EXPIRY_INTERVAL_MS = 100;

/** Options of `startKeyValue`. */
export interface KeyValueOptions {
  readonly host: string;
  /** 0 for any free port. */
  readonly port: number;
}

/** Running stand-in of the key-value service. */
export interface RunningKeyValue {
  /** `http://host:port`. */
  readonly address: string;
  /** Replaces all faults; those left out are turned off. */
  setFaults(faults: Partial<KeyValueFaults>): void;
  /** Returns the number of received calls by kind. */
  readCounts(): CallCounts;
  close(): Promise<void>;
}

/** Starts a key-value service with an empty in-memory store. */
export async function startKeyValue(
  options: KeyValueOptions,
): Promise<RunningKeyValue> {
  const handler = new KeyValueHandler();
  const server = createServer((request, response) => {
    void handler.serve(request, response);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const expiryTimer = setInterval(
    () => handler.expireLeases(),
    LEASE_EXPIRY_INTERVAL_MS,
  );
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `http://${address}:${port}`,
    setFaults: faults => handler.setFaults(faults),
    readCounts: () => ({...handler.service.counts}),
    close: async () => {
      clearInterval(expiryTimer);
      await closeServer(server);
    },
  };
}

class KeyValueHandler {
  readonly service = new KeyValueService();
  private faults = keyValueFaultsSchema.parse({});
  private writeCount = 0;

  expireLeases(): void {
    this.service.leases.expireDue(readClock());
  }

  setFaults(faults: unknown): void {
    const parsed = keyValueFaultsSchema.safeParse(faults);
    if (!parsed.success) throw new ServiceError(400, 3, parsed.error.message);
    this.faults = parsed.data;
    if (this.faults.lapseLeases) this.service.leases.expireAll();
    if (this.faults.dropWatches || this.faults.down) {
      this.service.watches.disconnectAll();
    }
  }

  /** Serves one request. Never rejects. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.handle(request, response);
    } catch (cause) {
      sendError(response, cause);
    }
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? '';
    if (path.startsWith('/admin/')) {
      await this.handleAdmin(request, response);
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
    await this.runCall(kind, await readBody(request), response);
  }

  private async runCall(
    kind: CallKind,
    body: unknown,
    response: ServerResponse,
  ): Promise<void> {
    await this.delayIfSlow();
    if (kind === CallKind.Watch) {
      this.service.watch(body, response, readClock());
      return;
    }
    const changesBefore = this.service.changeCount;
    const result = this.service.call(kind, body, readClock());
    if (this.service.changeCount > changesBefore && this.isNextResponseLost()) {
      response.destroy();
      return;
    }
    await this.delayIfSlow();
    sendJson(response, 200, result);
  }

  /** Delays by half of `slowMs`, once before and once after the effect. */
  private async delayIfSlow(): Promise<void> {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs / 2);
  }

  private isNextResponseLost(): boolean {
    if (this.faults.loseAnswers === 0) return false;
    this.writeCount += 1;
    return this.writeCount % this.faults.loseAnswers === 0;
  }

  private async handleAdmin(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case 'PUT /admin/faults':
        this.setFaults(await readBody(request));
        sendJson(response, 200, this.faults);
        return;
      case 'GET /admin/counts':
        sendJson(response, 200, this.service.counts);
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

function sendError(response: ServerResponse, cause: unknown): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  if (cause instanceof ServiceError) {
    const {status, code, message} = cause;
    sendJson(response, status, {error: message, code, message});
    return;
  }
  sendJson(response, 500, {error: String(cause), code: 13});
}

function sendJson(
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
