/** All connections of callers, and which of them are closed when there are too many. */
import {readdir} from 'node:fs/promises';
import type {Socket} from 'node:net';
import {
  readClock,
  waitForPendingReads,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import {BlockPool} from './block_pool.js';
import {ClientConnection} from './client_connection.js';
import {CloseReason} from './close_reason.js';
import type {ClientCounters} from './client_counters.js';
import type {MemoryBudget} from './memory_budget.js';
import {ClosureLog} from './closure_log.js';
import {PieceScheduler} from './piece_scheduler.js';
import {PauseQuota} from './socket_pause.js';

/** Descriptors kept for files and for connections that are being opened. */
const RESERVED_DESCRIPTORS = 200;
/** Least number of descriptors that the process itself is taken to need. */
const MIN_OWN_DESCRIPTORS = 64;
/** Least number of connections, however few descriptors are left. */
const MIN_CONNECTIONS = 16;
/** How often connections are checked, in ms. */
const CHECK_INTERVAL_MS = 500;
/** Longest time in which a client reads nothing of its responses, in ms. */
const MAX_UNREAD_MS = 15_000;
/** The same while memory is short, in ms. */
const MAX_UNREAD_SHORT_MS = 1_000;

/** Computes how many connections callers may have. */
export function computeMaxConnections(
  maxDescriptors: number | undefined,
  ownDescriptors: number,
): number {
  if (maxDescriptors === undefined) return Infinity;
  const own = Math.max(ownDescriptors, MIN_OWN_DESCRIPTORS);
  return Math.max(maxDescriptors - RESERVED_DESCRIPTORS - own, MIN_CONNECTIONS);
}

/** What the connections are limited by, and where it is recorded. */
export interface ConnectionLimitOptions {
  readonly maxDescriptors: number | undefined;
  readonly budget: MemoryBudget;
  readonly logger: Logger;
  readonly counters: ClientCounters;
  /** Returns the time in which headers have to end, in ms. */
  readonly readHeadersTimeout: () => Millis;
}

/** Keeps the connections in the order in which they were opened. */
export class ClientConnections {
  private readonly scheduler = new PieceScheduler(readClock);
  private readonly shared = {pool: new BlockPool(), pauses: new PauseQuota()};
  private readonly open = new Set<ClientConnection>();
  private ownDescriptors = 0;
  private timer: NodeJS.Timeout | undefined;
  private readonly closureLog: ClosureLog;

  constructor(private readonly options: ConnectionLimitOptions) {
    this.closureLog = new ClosureLog(options.logger);
  }

  /** Starts the periodic checks; returns a function that stops them. */
  start(): () => void {
    this.timer = setInterval(
      () => void waitForPendingReads().then(() => this.check(readClock())),
      CHECK_INTERVAL_MS,
    );
    this.timer.unref();
    return () => clearInterval(this.timer);
  }

  /** Accepts a connection; undefined if it was closed by a limit. */
  accept(socket: Socket): ClientConnection | undefined {
    const connection = new ClientConnection(
      socket,
      this.options.budget,
      this.scheduler,
      this.shared,
      readClock,
      {
        onPause: () => this.options.counters.countPaused(),
        onMemoryShort: each => this.close(each, CloseReason.Memory),
      },
    );
    this.scheduler.recordAccepted();
    this.open.add(connection);
    connection.once('close', () => this.open.delete(connection));
    while (this.open.size > this.maxConnections) {
      const victim = this.findVictim(connection);
      this.close(victim, CloseReason.Descriptors);
      if (victim === connection) return undefined;
    }
    while (!connection.tryOpen()) {
      const victim = this.findVictim(connection);
      this.close(victim, CloseReason.Memory);
      if (victim === connection) return undefined;
    }
    return connection;
  }

  private get maxConnections(): number {
    const {maxDescriptors} = this.options;
    return computeMaxConnections(maxDescriptors, this.ownDescriptors);
  }

  /** The oldest idle connection, else one that is sending, else `newest`. */
  private findVictim(newest: ClientConnection): ClientConnection {
    let sending: ClientConnection | undefined;
    for (const connection of this.open) {
      if (connection === newest) continue;
      const {isIdle, isReceiving} = connection.requests;
      if (isIdle) return connection;
      if (isReceiving) sending ??= connection;
    }
    return sending ?? newest;
  }

  private close(connection: ClientConnection, reason: CloseReason): void {
    this.open.delete(connection);
    if (connection.isClosed) return;
    if (reason === CloseReason.LateHeaders) connection.refuseHeaders();
    this.options.counters.countClosed(reason);
    this.closureLog.record(reason, connection.remoteAddress);
    connection.cutOff();
  }

  private async check(now: Millis): Promise<void> {
    const isShort = this.options.budget.isUnderPressure;
    const headersTimeoutMs = this.options.readHeadersTimeout();
    const maxUnreadMs = isShort ? MAX_UNREAD_SHORT_MS : MAX_UNREAD_MS;
    for (const connection of this.open) {
      if (connection.requests.isBodyLate(now))
        this.close(connection, CloseReason.SlowBody);
      else if (connection.findUnreadMs(now) > maxUnreadMs)
        this.close(connection, CloseReason.UnreadResponse);
      else if (connection.areHeadersLate(now, headersTimeoutMs))
        this.close(connection, CloseReason.LateHeaders);
      else connection.retry(now);
    }
    this.closureLog.flush();
    if (this.options.maxDescriptors === undefined) return;
    const all = await readdir('/proc/self/fd').catch(() => undefined);
    // Without /proc the least number is taken.
    if (all !== undefined) this.ownDescriptors = all.length - this.open.size;
  }
}
