/** Whether the balancer should send new callers here. */

/** Whether an instance takes new callers, and how many it is answering. */
export class Readiness {
  private isLeaving = false;
  private open = 0;

  constructor(private readonly hasServers: () => boolean) {}

  /** Ready once servers are known, until the planned stop. */
  get isReady(): boolean {
    return !this.isLeaving && this.hasServers();
  }

  /** Requests that have not been answered. */
  get openRequests(): number {
    return this.open;
  }

  /** From now on the balancer should send callers elsewhere. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Notes a request; call the answer when it has been answered. */
  beginRequest(): () => void {
    this.open += 1;
    return () => {
      this.open -= 1;
    };
  }
}
