/**
 * Pools of keep-alive connections to backend servers. Connections per server
 * are limited: a server accepts few, and all entry instances share them.
 */
import {readClock, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import {Pool} from 'undici';
import {ExchangeHandler} from './exchange_handler.js';
import {ExchangeKind, type BackendRequest, type Exchange} from './types.js';

const CONNECT_TIMEOUT_MS = 2_000;
/** Below the servers' timeouts, so that they rarely close during a write. */
const KEEP_ALIVE_TIMEOUT_MS = 1_000;
/** Idle time after which a pool is closed. */
const POOL_IDLE_TIMEOUT_MS = 60_000;
const DEFAULT_MAX_CONNECTIONS = 8;
const DEFAULT_MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Limits of the connections to backend servers, and their owner. */
export interface ConnectionLimits {
  /** Owner of the connections: closing it closes all of them. */
  readonly lifecycle: Lifecycle;
  /** Maximum number of connections to one server; the default is 8. */
  readonly connections?: number;
  /** Maximum size of a response body in bytes; the default is 8 MiB. */
  readonly maxResponseBytes?: number;
}

interface ServerPool {
  readonly pool: Pool;
  inFlight: number;
  lastUsedAt: Millis;
}

/** Sends requests to backend servers; prevents undici from retrying them. */
export class ServerPools {
  private readonly pools = new Map<string, ServerPool>();
  private lastIdleCheckAt: Millis = 0;

  constructor(private readonly limits: ConnectionLimits) {
    limits.lifecycle.own('backend connections', () => this.destroyAll());
  }

  /** Sends one request at most once. Never throws or rejects. */
  send(request: BackendRequest): Promise<Exchange> {
    const serverPool = this.getPool(request.address);
    if (serverPool === undefined) {
      const reason = `invalid address: ${request.address}`;
      return Promise.resolve({kind: ExchangeKind.NotSent, reason});
    }
    serverPool.inFlight += 1;
    return new Promise(resolve => {
      const handler = new ExchangeHandler(
        this.limits.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
        exchange => {
          clearTimeout(timer);
          request.signal?.removeEventListener('abort', abort);
          serverPool.inFlight -= 1;
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
      dispatch(serverPool.pool, request, handler);
    });
  }

  /** Finds or creates a pool; undefined if the address is invalid. */
  private getPool(address: string): ServerPool | undefined {
    const now = readClock();
    this.closeIdlePools(now);
    let serverPool = this.pools.get(address);
    if (serverPool === undefined) {
      // The constructor throws on an invalid URL, such as a port above 65535.
      if (!URL.canParse(`http://${address}`)) return undefined;
      const pool = createPool(address, this.limits);
      serverPool = {pool, inFlight: 0, lastUsedAt: now};
      this.pools.set(address, serverPool);
    }
    serverPool.lastUsedAt = now;
    return serverPool;
  }

  private closeIdlePools(now: Millis): void {
    if (now - this.lastIdleCheckAt < POOL_IDLE_TIMEOUT_MS) return;
    this.lastIdleCheckAt = now;
    for (const [address, serverPool] of this.pools) {
      const isIdle = now - serverPool.lastUsedAt >= POOL_IDLE_TIMEOUT_MS;
      if (!isIdle || serverPool.inFlight > 0) continue;
      this.pools.delete(address);
      void serverPool.pool.destroy();
    }
  }

  private async destroyAll(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(({pool}) => pool.destroy()));
  }
}

function createPool(address: string, limits: ConnectionLimits): Pool {
  return new Pool(`http://${address}`, {
    connections: limits.connections ?? DEFAULT_MAX_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    // `send` sets one timeout for the whole exchange.
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
        // Otherwise undici may retry methods that HTTP defines as idempotent.
        idempotent: false,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
      },
      handler,
    );
  } catch (cause) {
    // Thrown before the request is queued: the pool was destroyed.
    handler.fail(
      cause instanceof Error
        ? cause.message
        : 'request could not be dispatched',
    );
  }
}
