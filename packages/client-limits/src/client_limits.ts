/** Limits what uncontrolled clients make an instance hold. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {readClock, type Logger, type Millis} from '@goldcrestpier/runtime';
import {ClientConnection} from './client_connection.js';
import {ClientConnections} from './client_connections.js';
import type {ClientCounters} from './client_counters.js';
import {CountedRequest} from './counted_request.js';
import {computeBudget, MemoryBudget} from './memory_budget.js';
import {RequestMemory} from './request_memory.js';
import {watchClose} from './watch_close.js';

/** Time in which the body of a request that submits no job has to end, in ms. */
const OTHER_BODY_MS = 15_000;
/** Time to refuse a late body before its connection is closed, in ms. */
const REFUSAL_MARGIN_MS = 1_000;

/** What the machine of an instance offers. */
export interface MachineLimits {
  readonly memoryMb: number;
  /** Not limited if undefined. */
  readonly maxDescriptors: number | undefined;
}

/** What clients are limited by, and where limits that take effect are recorded. */
export interface ClientLimitOptions {
  readonly machine: MachineLimits;
  readonly logger: Logger;
  readonly counters: ClientCounters;
  /** Returns the time in which headers have to end, in ms. */
  readonly readHeadersTimeout: () => Millis;
}

/** The limits of all connections and requests of callers. */
export class ClientLimits {
  private readonly budget: MemoryBudget;
  private readonly connections: ClientConnections;

  constructor({machine, ...options}: ClientLimitOptions) {
    const {memoryMb, maxDescriptors} = machine;
    this.budget = new MemoryBudget(computeBudget(memoryMb));
    this.connections = new ClientConnections({
      maxDescriptors,
      budget: this.budget,
      ...options,
    });
  }

  /** Options with which the limited HTTP server has to be created. */
  static readonly serverOptions = {
    IncomingMessage: CountedRequest,
    // The connections limit the time for headers.
    headersTimeout: 0,
    // The handler of requests refuses them, so that they are counted.
    requireHostHeader: false,
  };

  /** Limits the connections of a server; returns a function that stops the checks. */
  attach(server: Server): () => void {
    const listeners = server.listeners('connection');
    server.removeAllListeners('connection');
    server.on('connection', (socket: Socket) => {
      const connection = this.connections.accept(socket);
      if (connection === undefined) return;
      // Each of the requests in flight on a connection watches it.
      connection.setMaxListeners(0);
      for (const listener of listeners) listener.call(server, connection);
    });
    return this.connections.start();
  }

  /** Accounts for a request until its response was sent. */
  beginRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): RequestMemory {
    const memory = new RequestMemory(this.budget.openAccount(), request);
    const connection = findConnection(request);
    connection?.beginRequest(request, response);
    connection?.requests.limitBody(readClock() + OTHER_BODY_MS);
    watchClose(request, response, () => {
      memory.close();
      connection?.endRequest();
    });
    return memory;
  }

  /** Sets the time in which the body of a submission has to end. */
  limitBody(request: IncomingMessage, timeoutMs: Millis): void {
    const dueAt = readClock() + timeoutMs + REFUSAL_MARGIN_MS;
    findConnection(request)?.requests.limitBody(dueAt);
  }
}

function findConnection({
  socket,
}: IncomingMessage): ClientConnection | undefined {
  const connection: unknown = socket;
  return connection instanceof ClientConnection ? connection : undefined;
}
