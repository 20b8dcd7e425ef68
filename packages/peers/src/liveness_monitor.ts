/**
 * Detects dead connections by the absence of received data: a host that is
 * powered off or behind a network partition never closes its connections.
 */
import type {WebSocket} from 'ws';

/** Number of checks of each socket within the silence timeout. */
const CHECKS_PER_TIMEOUT = 4;

/** Options of a liveness monitor. */
export interface LivenessMonitorOptions {
  /** Time without received data after which a connection is closed, in ms. */
  readonly silenceTimeoutMs: number;
  /** Whether to ping the other side when a connection is idle. */
  readonly canPing: boolean;
}

/**
 * Terminates sockets on which nothing arrives within the timeout. It counts
 * checks instead of comparing clocks: a process that was suspended makes a
 * single check for the whole time, and so reads the data that waits on its
 * sockets before it terminates them. One timer checks all sockets, so that an
 * idle process wakes up once for all of them.
 */
export class LivenessMonitor {
  /** Number of checks of each socket since data last arrived on it. */
  private readonly idleChecks = new Map<WebSocket, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LivenessMonitorOptions) {}

  /** Monitors a socket until it closes. */
  add(socket: WebSocket): void {
    const reset = () => {
      if (this.idleChecks.has(socket)) this.idleChecks.set(socket, 0);
    };
    for (const event of ['message', 'ping', 'pong']) socket.on(event, reset);
    socket.once('close', () => this.remove(socket));
    this.idleChecks.set(socket, 0);
    this.timer ??= setInterval(
      () => this.checkSockets(),
      this.options.silenceTimeoutMs / CHECKS_PER_TIMEOUT,
    );
  }

  private remove(socket: WebSocket): void {
    this.idleChecks.delete(socket);
    if (this.idleChecks.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private checkSockets(): void {
    for (const [socket, previousChecks] of [...this.idleChecks]) {
      const checks = previousChecks + 1;
      this.idleChecks.set(socket, checks);
      if (checks > CHECKS_PER_TIMEOUT) socket.terminate();
      else if (this.options.canPing && checks > 1) socket.ping();
    }
  }
}
