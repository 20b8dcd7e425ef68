/**
 * Kept-alive connections to backend servers, bounded for each server: a server
 * takes few connections and all entry instances share them.
 */
import {readClock, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import {Pool} from 'undici';
import {ExchangeHandler} from './exchange_handler.js';
import type {BackendRequest, Exchange} from './types.js';

const CONNECT_TIMEOUT_MS = 2_000;
/** Shorter than servers' own, so that a server seldom closes under a write. */
const KEEP_ALIVE_MS = 1_000;
/** A pool without requests for this long is closed. */
const POOL_IDLE_MS = 60_000;
const DEFAULT_CONNECTIONS = 8;
const DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Bounds on the connections to backend servers. */
export interface ConnectionBounds {
  /** Closes all connections when it closes. */
  readonly lifecycle: Lifecycle;
  /** Connections to one server; 8 unless said. */
  readonly connections?: number;
  /** Longest answer that is read, in bytes; 8 MiB unless said. */
  readonly maxAnswerBytes?: number;
}

interface ServerPool {
  readonly pool: Pool;
  inFlight: number;
  usedAt: Millis;
}

/** Sends requests to backend servers. undici is given no way to retry. */
export class ServerPools {
  private readonly pools = new Map<string, ServerPool>();
  private sweptAt: Millis = 0;

  constructor(private readonly bounds: ConnectionBounds) {
    bounds.lifecycle.own('backend connections', () => this.destroyAll());
  }

  /** Sends one request once. Never rejects. */
  send(request: BackendRequest): Promise<Exchange> {
    const server = this.poolOf(request.address);
    server.inFlight += 1;
    return new Promise(resolve => {
      const handler = new ExchangeHandler(
        this.bounds.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
        exchange => {
          clearTimeout(timer);
          request.signal?.removeEventListener('abort', abort);
          server.inFlight -= 1;
          resolve(exchange);
        },
      );
      const abort = () => handler.abort();
      const timer = setTimeout(
        () => handler.fail('timeout'),
        Math.max(request.timeoutMs, 0),
      );
      if (request.signal?.aborted === true) return abort();
      request.signal?.addEventListener('abort', abort, {once: true});
      dispatch(server.pool, request, handler);
    });
  }

  private poolOf(address: string): ServerPool {
    const now = readClock();
    this.sweep(now);
    let server = this.pools.get(address);
    if (server === undefined) {
      const pool = createPool(address, this.bounds);
      server = {pool, inFlight: 0, usedAt: now};
      this.pools.set(address, server);
    }
    server.usedAt = now;
    return server;
  }

  private sweep(now: Millis): void {
    if (now - this.sweptAt < POOL_IDLE_MS) return;
    this.sweptAt = now;
    for (const [address, server] of this.pools) {
      const idle = now - server.usedAt >= POOL_IDLE_MS;
      if (!idle || server.inFlight > 0) continue;
      this.pools.delete(address);
      void server.pool.destroy();
    }
  }

  private async destroyAll(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(({pool}) => pool.destroy()));
  }
}

function createPool(address: string, bounds: ConnectionBounds): Pool {
  return new Pool(`http://${address}`, {
    connections: bounds.connections ?? DEFAULT_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    // The exchange has one timeout of its own from start to end.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function dispatch(
  pool: Pool,
  request: BackendRequest,
  handler: ExchangeHandler,
): void {
  const body = request.body;
  try {
    pool.dispatch(
      {
        path: request.path,
        method: request.method,
        // Not even a request that HTTP calls idempotent is sent twice.
        idempotent: false,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
      },
      handler,
    );
  } catch (cause) {
    // Thrown before anything is queued: a destroyed pool or a bad address.
    handler.fail(cause instanceof Error ? cause.message : 'not dispatched');
  }
}
