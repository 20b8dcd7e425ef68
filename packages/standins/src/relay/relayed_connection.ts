/** One connection through a relay: two sockets and what passes between. */
import {Socket} from 'node:net';
import {DelayLine} from './delay_line.js';
import {Cut, type Link, type LinkMember} from './link.js';

/** Bytes under way in one direction beyond which its sender has to wait. */
const MOST_UNDER_WAY_BYTES = 4 * 1024 * 1024;

/** Where a relay sends its connections. */
export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

/** Passes bytes between a socket and the target until either side ends. */
export class RelayedConnection implements LinkMember {
  private readonly onward = new Socket({allowHalfOpen: true});
  private isCut = false;

  constructor(
    private readonly source: Socket,
    target: RelayTarget,
    private readonly link: Link,
  ) {
    source.setNoDelay(true);
    this.onward.setNoDelay(true);
    link.join(this);
    this.pass(source, this.onward, () => link.delays.forwardMs);
    this.pass(this.onward, source, () => link.delays.backwardMs);
    if (link.state === undefined) this.onward.connect(target);
    else this.cut(link.state);
  }

  /** Closes both sockets, or lets nothing pass any more. */
  cut(cut: Cut): void {
    this.isCut = true;
    switch (cut) {
      case Cut.Closed:
        this.close();
        break;
      case Cut.Silent:
        this.source.pause();
        this.onward.pause();
        break;
    }
  }

  /** Closes what was cut silently: bytes that were lost stay lost. */
  heal(): void {
    if (this.isCut) this.close();
  }

  /** Closes both sockets at once. */
  close(): void {
    this.link.leave(this);
    this.source.destroy();
    this.onward.destroy();
  }

  private pass(from: Socket, to: Socket, readDelay: () => number): void {
    const line = new DelayLine();
    let underWay = 0;
    const push = (bytes: number, deliver: () => void) => {
      underWay += bytes;
      if (underWay > MOST_UNDER_WAY_BYTES) from.pause();
      line.push(readDelay(), () => {
        if (this.isCut || to.destroyed) return;
        deliver();
      });
    };
    const arrive = (bytes: number) => {
      underWay -= bytes;
      if (!this.isCut && underWay <= MOST_UNDER_WAY_BYTES) from.resume();
    };
    from.on('data', (chunk: Buffer) => {
      if (this.isCut) return;
      this.link.addBytes(chunk.length);
      push(chunk.length, () => to.write(chunk, () => arrive(chunk.length)));
    });
    from.on('end', () => push(0, () => to.end()));
    from.on('error', () => this.close());
    from.on('close', () => {
      // An orderly end is on its way to the other side; anything else closes.
      if (!from.readableEnded) this.close();
      else if (to.destroyed) this.link.leave(this);
    });
  }
}
