/** Outcome of one attempt to start a task on a backend server. */
import type {Millis} from '@goldcrestpier/runtime';

/** Name and network address of a backend server. */
export interface BackendAddress {
  readonly name: string;
  /** `host:port`. */
  readonly address: string;
}

/** Ways in which a start can end. */
export enum StartKind {
  /** The task ran and returned a result. */
  Done = 'done',
  /** The task ran and failed. */
  Failed = 'failed',
  /** The task did not run: the server has no free capacity. */
  Busy = 'busy',
  /** The task did not run: the server is leaving and accepts no new tasks. */
  Leaving = 'leaving',
  /** The task did not run: the request was never sent. */
  Refused = 'refused',
  /** The task may have run: no valid response arrived. */
  Unknown = 'unknown',
  /** The task may have run: its lease on a worker expired. */
  LeaseLost = 'lease-lost',
  /** The caller aborted the start, or the worker stopped the task. */
  Stopped = 'stopped',
}

/** Outcome of one start. */
export type StartOutcome =
  | {
      readonly kind: StartKind.Done;
      readonly result: unknown;
      readonly runMs: Millis;
      /** Usage that a worker reports; runners report none. */
      readonly usage?: WorkerUsage | undefined;
    }
  | {
      readonly kind: StartKind.Failed;
      readonly reason: string;
      readonly runMs: Millis;
      readonly usage?: WorkerUsage | undefined;
    }
  | {readonly kind: StartKind.Busy}
  | {readonly kind: StartKind.Leaving}
  | {readonly kind: StartKind.Refused; readonly reason: string}
  | {readonly kind: StartKind.Unknown; readonly reason: string}
  | {readonly kind: StartKind.LeaseLost}
  | {
      readonly kind: StartKind.Stopped;
      /** Whether the request may have reached the server. */
      readonly sent: boolean;
    };

/** Resources used on a worker, by one task or by all of its tasks. */
export interface WorkerUsage {
  readonly processors: number;
  readonly memoryMb: number;
}

/** Whether an outcome proves that the task did not run. */
export function provesNotRun(outcome: StartOutcome): boolean {
  switch (outcome.kind) {
    case StartKind.Busy:
    case StartKind.Leaving:
    case StartKind.Refused:
      return true;
    case StartKind.Stopped:
      return !outcome.sent;
    case StartKind.Done:
    case StartKind.Failed:
    case StartKind.Unknown:
    case StartKind.LeaseLost:
      return false;
  }
}
