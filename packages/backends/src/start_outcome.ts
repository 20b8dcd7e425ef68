/** What is known after one try to start a task on a backend server. */
import type {Millis} from '@goldcrestpier/runtime';

/** A backend server as its clients need it. */
export interface BackendAddress {
  readonly name: string;
  /** `host:port`. */
  readonly address: string;
}

/** How a start can end. */
export enum StartKind {
  /** It ran and has a result. */
  Done = 'done',
  /** It ran and failed. */
  Failed = 'failed',
  /** Not run: the server has no room. */
  Busy = 'busy',
  /** Not run: the server takes nothing new. */
  Leaving = 'leaving',
  /** Not run: nothing was sent. */
  Refused = 'refused',
  /** It may have run; the answer was lost. */
  Unknown = 'unknown',
  /** It may have run: its lease on a worker lapsed. */
  LeaseLost = 'lease-lost',
  /** Given up by the caller. */
  Stopped = 'stopped',
}

/** How one start ended. */
export type StartOutcome =
  | {
      readonly kind: StartKind.Done;
      readonly result: unknown;
      readonly runMs: Millis;
      /** What a worker measured; runners measure nothing. */
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
      /** Whether the start may have reached the server. */
      readonly sent: boolean;
    };

/** What one task used of a worker. */
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
