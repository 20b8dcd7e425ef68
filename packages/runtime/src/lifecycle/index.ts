/**
 * Ownership and clean-up. Each part hands what it opens to a life cycle, which
 * closes everything in reverse order, children before what they rest on.
 */

import {setMaxListeners} from 'node:events';

/** Closes one resource. Must not reject; a rejection is reported and passed. */
export type Close = () => void | Promise<void>;

/** What went wrong while one resource closed. */
export interface CloseFailure {
  readonly resource: string;
  readonly cause: unknown;
}

interface OwnedResource {
  readonly name: string;
  readonly close: Close;
}

/** Owns resources and running loops, and closes them once, newest first. */
export class Lifecycle {
  private readonly owned = new Set<OwnedResource>();
  private onClosed: () => void = () => undefined;
  private readonly controller = new AbortController();
  private closing: Promise<CloseFailure[]> | undefined;

  constructor(readonly name: string) {
    // Every loop and call of a part may listen; Node would warn of the 11th.
    setMaxListeners(0, this.controller.signal);
  }

  /** Aborts when closing begins; loops end on it. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Takes over `close`, to be called when this life cycle closes. */
  own(name: string, close: Close): void {
    if (this.signal.aborted) {
      // Opened while closing: nobody else would close it any more.
      void close();
      return;
    }
    this.owned.add({name, close});
  }

  /**
   * Runs a loop until it returns. Closing aborts `signal` and waits for it.
   * An unexpected rejection goes to `onFailure`.
   */
  run(
    name: string,
    loop: (signal: AbortSignal) => Promise<void>,
    onFailure: (cause: unknown) => void,
  ): void {
    const ended = loop(this.signal).catch(onFailure);
    this.own(name, () => ended);
  }

  /** A life cycle inside this one: closed with it, or earlier on its own. */
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
    // Children come and go with peers; a closed one must not be kept.
    child.onClosed = () => this.owned.delete(resource);
    return child;
  }

  /** Closes everything once; later calls get the same answer. */
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
