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

/** Takes a timeout back. */
export type CancelTimeout = () => void;

/**
 * Calls back after `ms` milliseconds, but only once what has arrived by then is
 * read. Node runs timers that are due before it reads from sockets, so that a
 * process that was busy would take its own delay for the silence of another.
 */
export function startReadingTimeout(
  callback: () => void,
  ms: Millis,
): CancelTimeout {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, ms);
  return () => {
    clearTimeout(timer);
    if (immediate !== undefined) clearImmediate(immediate);
  };
}
