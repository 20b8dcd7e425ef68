/** Which requests to workers are executed or answered late. */
import type {Millis} from '@goldcrestpier/runtime';
import type {RequestDelays} from './worker_port.js';

/** What each worker executes or answers late at the moment. */
export class DelayedRequests implements RequestDelays {
  private readonly delayedShares = new Map<string, number>();
  private readonly lateShares = new Map<string, number>();

  private readonly answerDelays = new Map<string, Millis>();

  /** Sets the longest delay of a worker's answers. */
  setMaxAnswerDelay(workerId: string, ms: Millis): void {
    this.answerDelays.set(workerId, ms);
  }

  /** Finds the longest delay of a worker's answers. */
  findMaxAnswerDelay(workerId: string): Millis {
    return this.answerDelays.get(workerId) ?? 0;
  }

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
