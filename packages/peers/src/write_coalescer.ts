/** Combines the writes of one event loop turn into one system call. */
import type {Duplex} from 'node:stream';

/** Corks a socket until the end of the current event loop turn. */
export class WriteCoalescer {
  private isCorked = false;

  constructor(private readonly socket: Duplex) {}

  /** Call before each write. The socket is uncorked at the end of the turn. */
  corkThisTurn(): void {
    if (this.isCorked) return;
    this.isCorked = true;
    this.socket.cork();
    setImmediate(() => {
      this.isCorked = false;
      this.socket.uncork();
    });
  }
}
