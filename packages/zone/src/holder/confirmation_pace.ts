/**
 * Limits how often the process of an idle worker is confirmed by a poll. A server
 * may close each connection after its answer, so that a closed connection says
 * nothing about its process.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Bounds of the pause between two confirmations of a process, in ms. */
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1_000;

/** The pause doubles as long as the same process is confirmed. */
export class ConfirmationPace {
  private confirmedBornAt: number | undefined;
  private confirmedAt: Millis = -Infinity;
  private pauseMs = MIN_PAUSE_MS;

  /** Whether the process that started at `bornAt` may be confirmed now. */
  tryTake(bornAt: number, now: Millis): boolean {
    if (bornAt !== this.confirmedBornAt) this.pauseMs = MIN_PAUSE_MS;
    if (now - this.confirmedAt < this.pauseMs) return false;
    this.pauseMs = Math.min(2 * this.pauseMs, MAX_PAUSE_MS);
    this.confirmedBornAt = bornAt;
    this.confirmedAt = now;
    return true;
  }
}
