/** Simulated network link between two parties: delays and partitions. */

/** What both sides observe during a partition. */
export enum PartitionKind {
  /** Connections are closed and new ones refused. */
  Closed = 'closed',
  /** Connections stay open, but no data passes. */
  Silent = 'silent',
}

/** One-way delays, in milliseconds. */
export interface LinkDelays {
  /** From the connecting side to the target. */
  readonly forwardMs: number;
  /** From the target back. */
  readonly backwardMs: number;
}

/** Is notified of a link's partitions: a connection or a relay's listener. */
export interface LinkObserver {
  onPartition(kind: PartitionKind): void;
  onHeal(): void;
}

/** Network link shared by any number of connections. */
export class Link {
  private readonly connectionObservers = new Set<LinkObserver>();
  private readonly relayObservers = new Set<LinkObserver>();
  private currentPartition: PartitionKind | undefined;
  private relayedBytes = 0;

  constructor(public delays: LinkDelays = {forwardMs: 0, backwardMs: 0}) {}

  /** The current partition, if any. */
  get partitionKind(): PartitionKind | undefined {
    return this.currentPartition;
  }

  /** Number of current connections. */
  get connectionCount(): number {
    return this.connectionObservers.size;
  }

  /** Bytes relayed in both directions. */
  get byteCount(): number {
    return this.relayedBytes;
  }

  /** Partitions all connections, including new ones until `heal`. */
  partition(kind: PartitionKind): void {
    this.currentPartition = kind;
    for (const observer of [
      ...this.relayObservers,
      ...this.connectionObservers,
    ])
      observer.onPartition(kind);
  }

  /** Ends the partition. Connections that were silent are closed. */
  heal(): void {
    this.currentPartition = undefined;
    for (const observer of [
      ...this.connectionObservers,
      ...this.relayObservers,
    ])
      observer.onHeal();
  }

  /** Adds to `byteCount`. */
  countBytes(bytes: number): void {
    this.relayedBytes += bytes;
  }

  /** Notifies a relay's listener of partitions from now on. */
  addRelay(observer: LinkObserver): void {
    this.relayObservers.add(observer);
  }

  /** Stops notifying a relay's listener. */
  removeRelay(observer: LinkObserver): void {
    this.relayObservers.delete(observer);
  }

  /** Adds a connection, which is notified of partitions. */
  addConnection(observer: LinkObserver): void {
    this.connectionObservers.add(observer);
  }

  /** Removes a closed connection. */
  removeConnection(observer: LinkObserver): void {
    this.connectionObservers.delete(observer);
  }
}
