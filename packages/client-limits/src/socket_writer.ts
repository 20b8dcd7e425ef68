/** Sends to a client, and measures for how long it takes nothing. */
import type {Socket} from 'node:net';
import type {Millis} from '@goldcrestpier/runtime';

/** Called when the socket has taken what was sent. */
type Done = (error?: Error | null) => void;

/** Bytes to be sent. */
export interface OutgoingChunk {
  readonly chunk: Buffer;
  readonly encoding: BufferEncoding;
}

/** Writes to one socket. */
export class SocketWriter {
  /** Since when the client has taken no bytes; Infinity if none wait. */
  private unsentSince: Millis = Infinity;

  constructor(
    private readonly socket: Socket,
    private readonly readClock: () => Millis,
  ) {}

  /** Sends several chunks together. */
  send(chunks: readonly OutgoingChunk[], done: Done): void {
    this.unsentSince = this.readClock();
    this.socket.cork();
    chunks.forEach(({chunk, encoding}, index) => {
      const isLast = index === chunks.length - 1;
      if (isLast) this.socket.write(chunk, encoding, this.finish(done));
      else this.socket.write(chunk, encoding);
    });
    this.socket.uncork();
  }

  /** How long the client has read nothing of what was sent to it. */
  findUnreadMs(now: Millis): Millis {
    return Math.max(0, now - this.unsentSince);
  }

  private finish(done: Done): Done {
    return error => {
      this.unsentSince = Infinity;
      done(error);
    };
  }
}
