/**
 * Clock and timers. The clock is read only at the edges of a process, such as
 * event loops and I/O, and the time is passed on as an argument. Times are in
 * monotonic milliseconds unless a name says otherwise.
 */

/** A monotonic time in milliseconds since the process started. */
export type Millis = number;

/**
 * Reads the monotonic clock. Meant for event loops and I/O code; code that makes
 * decisions takes the time as an argument.
 */
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

/** Cancels a timeout that has not fired yet. */
export type CancelTimeout = () => void;

/**
 * Calls `callback` after `ms` milliseconds, but only after data that has arrived
 * by then has been read. Node.js runs due timers before it reads from sockets:
 * with a plain timeout, a process whose event loop was blocked would mistake its
 * own delay for an unresponsive peer.
 */
export function startTimeoutAfterReads(
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

/**
 * Resolves after this process has once read all data, ends and resets of
 * connections that have arrived by now. Node.js reads what a peer has sent and
 * the end of its connection in two turns of the event loop. An immediate may run
 * in the current turn, so that only the second one follows a complete turn.
 */
export function waitForPendingReads(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(() => setImmediate(resolve));
  });
}
