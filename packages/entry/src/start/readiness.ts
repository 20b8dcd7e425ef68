/** Readiness of an instance for new callers, reported to the balancer. */

/** Tracks whether an instance accepts new callers, and its open requests. */
export class Readiness {
  private isLeaving = false;
  private openCount = 0;

  constructor(private readonly hasServers: () => boolean) {}

  /** Ready from when backend servers are known until the planned stop begins. */
  get isReady(): boolean {
    return !this.isLeaving && this.hasServers();
  }

  /** Number of requests that have not been answered. */
  get openRequests(): number {
    return this.openCount;
  }

  /** Reports the instance as not ready, so that the balancer avoids it. */
  markLeaving(): void {
    this.isLeaving = true;
  }

  /** Counts a request as open until the returned function is called. */
  beginRequest(): () => void {
    this.openCount += 1;
    return () => {
      this.openCount -= 1;
    };
  }
}
