/** The shares of the requests to workers that are executed late. */
import type {RequestDelays} from './worker_port.js';

/** The share of requests that each worker executes late at the moment. */
export class DelayedRequests implements RequestDelays {
  private readonly delayedShares = new Map<string, number>();
  private readonly lateShares = new Map<string, number>();

  /** Sets the share of a worker's requests that is delayed. */
  setDelayedShare(workerId: string, share: number): void {
    this.delayedShares.set(workerId, share);
  }

  /** Sets the share that any process of the worker executes late. */
  setLateShare(workerId: string, share: number): void {
    this.lateShares.set(workerId, share);
  }

  /** Finds the share of a worker's requests that is delayed. */
  findDelayedShare(workerId: string): number {
    return this.delayedShares.get(workerId) ?? 0;
  }

  /** Finds the share that any process of the worker executes late. */
  findLateShare(workerId: string): number {
    return this.lateShares.get(workerId) ?? 0;
  }
}
