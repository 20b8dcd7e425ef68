/** Requests of a holder to workers, which the platform's adapter sends. */
import type {
  WorkerReport,
  Run,
  StartAnswer,
  Worker,
  WorkerRequestFailure,
} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';

/** A request to start a run. */
export interface StartRequest {
  readonly worker: Worker;
  readonly run: Run;
  readonly payload: string;
  readonly token: number;
  /** When the run's lease ends, on the worker's clock in ms. */
  readonly leaseUntil: Millis;
  /** Timeout of the request, in ms. */
  readonly timeoutMs: Millis;
  /**
   * Asked when a request that waited for others is about to be sent; if it is
   * not wanted any more, the answer is `NotSent`.
   */
  readonly isWanted: () => boolean;
}

/** A request to stop a run. */
export interface StopRequest {
  readonly worker: Worker;
  /** The formatted name of the task. */
  readonly task: string;
  readonly run: number;
  readonly token: number;
}

/** A request for a worker's runs, which also renews their leases. */
export interface PollRequest {
  readonly worker: Worker;
  readonly token: number;
  /** Number of the last end of a run that was received; acknowledges it. */
  readonly lastSeen: number;
  /** New end of all leases there, on the worker's clock; undefined: none. */
  readonly leaseUntil: Millis | undefined;
  /** How long the worker may wait for a run to end before it responds. */
  readonly waitMs: Millis;
  /** Added to `waitMs` for the timeout of the poll. */
  readonly marginMs: Millis;
}

/** The answer to a start request, with the worker's clock if reported. */
export interface StartResponse {
  readonly answer: StartAnswer;
  readonly clockMs: Millis | undefined;
}

/** Sends requests to workers, each once and without retries. */
export interface WorkerPort {
  start(request: StartRequest): Promise<StartResponse>;
  stop(request: StopRequest): Promise<Result<void, WorkerRequestFailure>>;
  poll(
    request: PollRequest,
    signal: AbortSignal,
  ): Promise<Result<WorkerReport, WorkerRequestFailure>>;
  /**
   * When a connection to the worker's address last closed; -Infinity if none
   * has. A later answer comes from a process that has been there since.
   */
  lastDisconnectAt(worker: Worker): Millis;
}
