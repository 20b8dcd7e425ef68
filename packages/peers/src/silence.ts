/**
 * Notices connections on which nothing arrives any more: a host that is off
 * or a cut network sends no end of connection.
 */
import type {WebSocket} from 'ws';

/** Looks within the time of silence that ends a connection. */
const LOOKS = 4;

/** How to watch one connection. */
export interface SilenceWatch {
  /** Silence after which the connection is ended, in ms. */
  readonly silenceMs: number;
  /** Whether to ask the other side for a sign of life when it is quiet. */
  readonly asks: boolean;
}

/**
 * Ends `socket` when it stays silent. It counts looks and compares no clocks:
 * a process that was stopped itself looks only once for all that time, and
 * so reads what waits on its sockets before it gives up on them.
 */
export function watchSilence(socket: WebSocket, watch: SilenceWatch): void {
  let quietLooks = 0;
  const note = () => {
    quietLooks = 0;
  };
  const timer = setInterval(() => {
    quietLooks += 1;
    if (quietLooks > LOOKS) socket.terminate();
    else if (watch.asks && quietLooks > 1) socket.ping();
  }, watch.silenceMs / LOOKS);
  for (const event of ['message', 'ping', 'pong']) socket.on(event, note);
  socket.once('close', () => clearInterval(timer));
}
