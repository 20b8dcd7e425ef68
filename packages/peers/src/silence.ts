/**
 * Notices connections on which nothing arrives any more: a host that is off
 * or a cut network sends no end of connection.
 */
import type {WebSocket} from 'ws';

/** Looks within the time of silence that ends a connection. */
const LOOKS = 4;

/** How to watch connections. */
export interface SilenceWatch {
  /** Silence after which a connection is ended, in ms. */
  readonly silenceMs: number;
  /** Whether to ask the other side for a sign of life when it is quiet. */
  readonly asks: boolean;
}

/**
 * Ends sockets that stay silent. It counts looks and compares no clocks: a
 * process that was stopped itself looks only once for all that time, and so
 * reads what waits on its sockets before it gives up on them. All sockets are
 * looked at together, so that an idle process is woken once for them.
 */
export class SilenceGuard {
  /** Looks at each socket since something arrived there. */
  private readonly quietLooks = new Map<WebSocket, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly watch: SilenceWatch) {}

  /** Watches a socket until it is closed. */
  add(socket: WebSocket): void {
    const note = () => {
      if (this.quietLooks.has(socket)) this.quietLooks.set(socket, 0);
    };
    for (const event of ['message', 'ping', 'pong']) socket.on(event, note);
    socket.once('close', () => this.remove(socket));
    this.quietLooks.set(socket, 0);
    this.timer ??= setInterval(() => this.look(), this.watch.silenceMs / LOOKS);
  }

  private remove(socket: WebSocket): void {
    this.quietLooks.delete(socket);
    if (this.quietLooks.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private look(): void {
    for (const [socket, before] of [...this.quietLooks]) {
      const looks = before + 1;
      this.quietLooks.set(socket, looks);
      if (looks > LOOKS) socket.terminate();
      else if (this.watch.asks && looks > 1) socket.ping();
    }
  }
}
