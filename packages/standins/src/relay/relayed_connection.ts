/** One connection through a relay: two sockets and the data between them. */
import {Socket} from 'node:net';
import {DelayQueue} from './delay_queue.js';
import {PartitionKind, type Link, type LinkObserver} from './link.js';

/** Backpressure: with more undelivered bytes, the sending socket is paused. */
const MAX_IN_FLIGHT_BYTES = 4 * 1024 * 1024;

/** Address to which a relay connects. */
export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

/** Forwards data between a socket and the target until either side closes. */
export class RelayedConnection implements LinkObserver {
  private readonly targetSocket = new Socket({allowHalfOpen: true});
  private isPartitioned = false;

  constructor(
    private readonly source: Socket,
    target: RelayTarget,
    private readonly link: Link,
  ) {
    source.setNoDelay(true);
    this.targetSocket.setNoDelay(true);
    link.addConnection(this);
    this.forward(source, this.targetSocket, () => link.delays.forwardMs);
    this.forward(this.targetSocket, source, () => link.delays.backwardMs);
    if (link.partitionKind === undefined) this.targetSocket.connect(target);
    else this.onPartition(link.partitionKind);
  }

  /** Closes both sockets, or stops forwarding. */
  onPartition(kind: PartitionKind): void {
    this.isPartitioned = true;
    switch (kind) {
      case PartitionKind.Closed:
        this.close();
        break;
      case PartitionKind.Silent:
        this.source.pause();
        this.targetSocket.pause();
        break;
    }
  }

  /** Closes a partitioned connection, because dropped bytes are not resent. */
  onHeal(): void {
    if (this.isPartitioned) this.close();
  }

  /** Destroys both sockets. */
  close(): void {
    this.link.removeConnection(this);
    this.source.destroy();
    this.targetSocket.destroy();
  }

  private forward(from: Socket, to: Socket, getDelayMs: () => number): void {
    const queue = new DelayQueue();
    let inFlightBytes = 0;
    const enqueue = (bytes: number, deliver: () => void) => {
      inFlightBytes += bytes;
      if (inFlightBytes > MAX_IN_FLIGHT_BYTES) from.pause();
      queue.push(getDelayMs(), () => {
        if (this.isPartitioned || to.destroyed) return;
        deliver();
      });
    };
    const handleDelivered = (bytes: number) => {
      inFlightBytes -= bytes;
      if (!this.isPartitioned && inFlightBytes <= MAX_IN_FLIGHT_BYTES)
        from.resume();
    };
    from.on('data', (chunk: Buffer) => {
      if (this.isPartitioned) return;
      this.link.countBytes(chunk.length);
      enqueue(chunk.length, () =>
        to.write(chunk, () => handleDelivered(chunk.length)),
      );
    });
    from.on('end', () => enqueue(0, () => to.end()));
    from.on('error', () => this.close());
    from.on('close', () => {
      // After a FIN, the queued end() closes the other side, else close now.
      if (!from.readableEnded) this.close();
      else if (to.destroyed) this.link.removeConnection(this);
    });
  }
}
