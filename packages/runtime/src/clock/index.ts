/**
 * Time is read at the edges of a process only and handed on as an argument.
 * Times are monotonic milliseconds unless a name says otherwise.
 */

/** A monotonic time in milliseconds since the process started. */
export type Millis = number;

/** Reads the monotonic clock. For event loops and edges, not for decisions. */
export function readClock(): Millis {
  return performance.now();
}

/** Waits for `ms` milliseconds, or until `signal` aborts. Never rejects. */
export function sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) return resolve();
    const end = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    signal?.addEventListener('abort', end, {once: true});
  });
}
