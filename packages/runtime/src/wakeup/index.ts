/** Wakes one waiting loop. What is told while it works is not lost. */
export class Wakeup {
  private isTold = false;
  private resume: () => void = () => undefined;

  /** Ends the present wait, or else the next one. */
  tell(): void {
    this.isTold = true;
    this.resume();
  }

  /** Waits until told, or until `signal` aborts. */
  async wait(signal: AbortSignal): Promise<void> {
    if (!this.isTold && !signal.aborted) await this.waitForResume(signal);
    this.isTold = false;
  }

  private waitForResume(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      this.resume = () => {
        signal.removeEventListener('abort', this.resume);
        resolve();
      };
      signal.addEventListener('abort', this.resume, {once: true});
    });
  }
}
