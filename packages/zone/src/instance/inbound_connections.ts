/**
 * Counts the open connections that each peer has to this instance. A process
 * that exits closes its connections. So one that is open shows that its process
 * lives, although a refused connection to that process may say otherwise.
 */

/** The connections that peers keep to this instance, by the peer's id. */
export class InboundConnections {
  private readonly counts = new Map<string, number>();

  /** Records that the instance with this id has opened a connection. */
  recordOpened(id: string): void {
    this.counts.set(id, (this.counts.get(id) ?? 0) + 1);
  }

  /** Records that one of its connections has closed. */
  recordClosed(id: string): void {
    const left = (this.counts.get(id) ?? 0) - 1;
    if (left > 0) this.counts.set(id, left);
    else this.counts.delete(id);
  }

  /** Whether the instance has an open connection to this one. */
  isOpen(id: string): boolean {
    return this.counts.has(id);
  }
}
