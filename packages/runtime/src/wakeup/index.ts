import type {Millis} from '../clock/index.js';

/** Wakes one waiting loop. What is told while it works is not lost. */
export class Wakeup {
  private isTold = false;
  private resume: () => void = () => undefined;

  /** Ends the present wait, or else the next one. */
  tell(): void {
    this.isTold = true;
    this.resume();
  }

  /**
   * Waits until told, for `longestMs`, or until `signal` aborts. True when told.
   */
  async wait(signal: AbortSignal, longestMs?: Millis): Promise<boolean> {
    if (!this.isTold && !signal.aborted) {
      await this.waitForResume(signal, longestMs);
    }
    const {isTold} = this;
    this.isTold = false;
    return isTold;
  }

  private waitForResume(
    signal: AbortSignal,
    longestMs: Millis | undefined,
  ): Promise<void> {
    return new Promise(resolve => {
      const resume = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', resume);
        resolve();
      };
      const timer =
        longestMs === undefined ? undefined : setTimeout(resume, longestMs);
      this.resume = resume;
      signal.addEventListener('abort', resume, {once: true});
    });
  }
}
