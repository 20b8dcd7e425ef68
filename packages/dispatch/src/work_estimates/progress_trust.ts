/**
 * Learns whether the progress that runs report is right: no job is
 * ended by it in a queue whose runs often end much earlier than it says.
 */
import {PROGRESS_ERROR} from './run_progress.js';

/** Weight of the latest run. */
const WEIGHT = 0.03;
/** Share of wrong reports from which progress isn't relied on. */
const MAX_WRONG_SHARE = 0.1;

/** How often the progress of each queue's runs was wrong. */
export class ProgressTrust {
  private readonly wrongShares = new Map<string, number>();

  /**
   * Adds a finished run that took `share` of the time that its progress said; 0 if
   * the progress has gone back.
   */
  learn(queue: string, share: number): void {
    const wrong = share < 1 - PROGRESS_ERROR ? 1 : 0;
    const before = this.wrongShares.get(queue) ?? 0;
    this.wrongShares.set(queue, before + WEIGHT * (wrong - before));
  }

  /** Whether the progress of the queue's runs is relied on. */
  isTrusted(queue: string): boolean {
    return (this.wrongShares.get(queue) ?? 0) < MAX_WRONG_SHARE;
  }
}
