/** Lets jobs notice that the holder they were handed to is no longer it. */

interface Waiting {
  readonly from: string;
  readonly resolve: () => void;
}

/** Who waits for another holder than the one it knows. */
export class HolderChange {
  private readonly waiting = new Set<Waiting>();

  /** Resolves when the holder is another than `from`, or `signal` aborts. */
  wait(from: string, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const entry = {from, resolve};
      this.waiting.add(entry);
      const end = () => {
        this.waiting.delete(entry);
        resolve();
      };
      signal.addEventListener('abort', end, {once: true});
    });
  }

  /** Tells who the holder is now; undefined when nobody is. */
  tell(holderId: string): void {
    for (const entry of [...this.waiting]) {
      if (entry.from === holderId) continue;
      this.waiting.delete(entry);
      entry.resolve();
    }
  }
}
