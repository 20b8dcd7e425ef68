/** Sends what is written in one turn of the event loop with one system call. */
import type {Duplex} from 'node:stream';

/** Holds back the writes of one socket until the end of the present turn. */
export class Coalescer {
  private isHeld = false;

  constructor(private readonly socket: Duplex) {}

  /** To be called before a write. Nothing waits longer than this turn. */
  hold(): void {
    if (this.isHeld) return;
    this.isHeld = true;
    this.socket.cork();
    setImmediate(() => {
      this.isHeld = false;
      this.socket.uncork();
    });
  }
}
