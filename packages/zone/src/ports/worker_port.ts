/** What a holder asks of workers; the adapter of a platform provides it. */
import type {
  WorkerReport,
  Run,
  StartAnswer,
  Worker,
} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';

/** Why a look or a stop brought nothing. */
export enum OrderFailure {
  /** A holder with a higher token has spoken to the worker. */
  Fenced = 'fenced',
  /** Another life of the worker answers at the address. */
  OtherLife = 'other_life',
  /** The connection was refused. */
  NotListening = 'not_listening',
  /** The worker answered, but not with what was asked. */
  Refused = 'refused',
  /** Nothing came back in time. */
  Unanswered = 'unanswered',
}

/** An order to start a run. */
export interface StartOrder {
  readonly worker: Worker;
  readonly run: Run;
  readonly payload: string;
  readonly token: number;
  /** When its lease ends, on the worker's clock. */
  readonly leaseUntil: Millis;
  /** How long the order may go unanswered. */
  readonly timeoutMs: Millis;
}

/** An order to stop a run. */
export interface StopOrder {
  readonly worker: Worker;
  /** The task's name as text. */
  readonly task: string;
  readonly run: number;
  readonly token: number;
}

/** Asks what a worker runs, and keeps it running. */
export interface LookOrder {
  readonly worker: Worker;
  readonly token: number;
  /** Ends up to this one are acknowledged. */
  readonly lastSeen: number;
  /** Extends the leases of all runs there, on the worker's clock. */
  readonly leaseUntil: Millis | undefined;
  /** How long the worker may wait for an end before it answers. */
  readonly waitMs: Millis;
  /** Added to `waitMs` before the look counts as unanswered. */
  readonly marginMs: Millis;
}

/** An answer to a start, with the worker's clock where it told it. */
export interface StartReply {
  readonly answer: StartAnswer;
  readonly clockMs: Millis | undefined;
}

/** Sends orders to workers. Each is sent once. */
export interface WorkerPort {
  start(order: StartOrder): Promise<StartReply>;
  stop(order: StopOrder): Promise<Result<void, OrderFailure>>;
  look(
    order: LookOrder,
    signal: AbortSignal,
  ): Promise<Result<WorkerReport, OrderFailure>>;
}
