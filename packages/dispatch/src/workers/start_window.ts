/**
 * The start commands that a worker has not answered yet. They are limited, so
 * that a job of many tasks neither fills the queue of a worker's connections nor
 * makes the commands of other jobs wait behind its own.
 */
import type {Run} from './run.js';

/** Maximum number of unanswered start commands to one worker. */
export const MAX_UNANSWERED_STARTS = 8;

/** Tracks the unanswered start commands of one worker. */
export class StartWindow {
  private readonly unanswered = new Set<Run>();

  /** Records that a start command is being sent. */
  add(run: Run): void {
    this.unanswered.add(run);
  }

  /** Records that a start command was answered, or that its run has ended. */
  remove(run: Run): void {
    this.unanswered.delete(run);
  }

  /** How many start commands may be sent until `limit` are unanswered. */
  countRoom(limit: number): number {
    return Math.max(0, limit - this.unanswered.size);
  }
}
