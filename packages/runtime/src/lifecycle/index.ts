/**
 * Ownership and cleanup of resources. A component registers the resources that
 * it opens with a lifecycle, which closes them in reverse order, so that a
 * resource is closed before the ones that it depends on.
 */

import {setMaxListeners} from 'node:events';

/**
 * Closes one resource. Must not throw or reject; if it does, the error is
 * reported as a `CloseFailure` and the other resources are still closed.
 */
export type Close = () => void | Promise<void>;

/** An error while closing a resource, named by its path of lifecycles. */
export interface CloseFailure {
  readonly resource: string;
  readonly cause: unknown;
}

interface OwnedResource {
  readonly name: string;
  readonly close: Close;
}

/** Owns resources and running loops and closes them once, newest first. */
export class Lifecycle {
  private readonly owned = new Set<OwnedResource>();
  private onClosed: () => void = () => undefined;
  private readonly controller = new AbortController();
  private closing: Promise<CloseFailure[]> | undefined;

  constructor(readonly name: string) {
    // Each loop and call of a component may add a listener, and Node.js warns at
    // the 11th by default.
    setMaxListeners(0, this.controller.signal);
  }

  /** Aborts when closing starts; loops must then return. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Registers a resource: `close` is called when this lifecycle closes, or at
   * once when closing has already started.
   */
  own(name: string, close: Close): void {
    if (this.signal.aborted) {
      // The resource was opened during closing; nothing else would close it.
      void close();
      return;
    }
    this.owned.add({name, close});
  }

  /**
   * Runs a loop until it returns. Closing aborts the signal and waits for the
   * loop to return. If the loop rejects, `onFailure` is called with the cause.
   */
  run(
    name: string,
    loop: (signal: AbortSignal) => Promise<void>,
    onFailure: (cause: unknown) => void,
  ): void {
    const ended = loop(this.signal).catch(onFailure);
    this.own(name, () => ended);
  }

  /** Creates a child lifecycle; it closes with this one or earlier by itself. */
  createChild(name: string): Lifecycle {
    const child = new Lifecycle(`${this.name}/${name}`);
    const resource = {
      name,
      close: async () => {
        await child.close();
      },
    };
    if (this.signal.aborted) void child.close();
    else this.owned.add(resource);
    // Children are created and closed as peers join and leave; keeping closed
    // children would leak memory.
    child.onClosed = () => this.owned.delete(resource);
    return child;
  }

  /** Closes all resources once; later calls return the same result. */
  close(): Promise<CloseFailure[]> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<CloseFailure[]> {
    this.controller.abort();
    const failures: CloseFailure[] = [];
    for (const {name, close} of [...this.owned].reverse()) {
      try {
        await close();
      } catch (cause) {
        failures.push({resource: `${this.name}/${name}`, cause});
      }
    }
    this.onClosed();
    return failures;
  }
}
