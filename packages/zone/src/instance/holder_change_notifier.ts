/** Notifies jobs that the holder they were submitted to was replaced. */

interface PendingWait {
  readonly from: string;
  readonly resolve: () => void;
}

/** Keeps the pending waits for a change of holder. */
export class HolderChangeNotifier {
  private readonly waiting = new Set<PendingWait>();

  /** Resolves when the holder differs from `from`, or `signal` aborts. */
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

  /** Resolves all waits for another holder than the one they know. */
  notify(holderId: string): void {
    for (const entry of [...this.waiting]) {
      if (entry.from === holderId) continue;
      this.waiting.delete(entry);
      entry.resolve();
    }
  }
}
