import type {Millis} from '../clock/index.js';

/**
 * Wakes one waiting loop. A notification that arrives while the loop is busy
 * ends its next wait, so that it is not lost.
 */
export class Wakeup {
  private isNotified = false;
  private resume: () => void = () => undefined;

  /** Ends the current wait, or the next one if no wait is in progress. */
  notify(): void {
    this.isNotified = true;
    this.resume();
  }

  /**
   * Waits for a notification, for at most `timeoutMs`, or until `signal` aborts.
   * Resolves to true if there was a notification; without `timeoutMs` there is
   * no time limit.
   */
  async wait(signal: AbortSignal, timeoutMs?: Millis): Promise<boolean> {
    if (!this.isNotified && !signal.aborted) {
      await this.waitForResume(signal, timeoutMs);
    }
    const {isNotified} = this;
    this.isNotified = false;
    return isNotified;
  }

  private waitForResume(
    signal: AbortSignal,
    timeoutMs: Millis | undefined,
  ): Promise<void> {
    return new Promise(resolve => {
      const resume = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', resume);
        resolve();
      };
      const timer =
        timeoutMs === undefined ? undefined : setTimeout(resume, timeoutMs);
      this.resume = resume;
      signal.addEventListener('abort', resume, {once: true});
    });
  }
}
