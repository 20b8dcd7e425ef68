/** One watch for each worker of a dispatcher. */
import type {Dispatcher} from '@goldcrestpier/dispatch';
import type {Lifecycle, Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {OrderFailure, WorkerPort} from '../ports/index.js';
import type {AnswerLosses} from './answer_losses.js';
import {WorkerWatch} from './worker_watch.js';

/** What the watches need. */
export interface WorkerWatchesOptions {
  readonly token: number;
  readonly dispatcher: Dispatcher;
  readonly port: WorkerPort;
  readonly losses: AnswerLosses;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
  /** Called when something is known that decisions depend on. */
  readonly onChange: () => void;
  readonly onFenced: (workerId: string) => void;
}

/** Begins a watch for each new worker; a watch ends with its worker. */
export class WorkerWatches {
  private readonly watches = new Map<string, WorkerWatch>();

  constructor(private readonly options: WorkerWatchesOptions) {}

  /** Watches every worker that the dispatcher knows, and no other. */
  watchAll(): void {
    const {workers} = this.options.dispatcher;
    for (const [id, watch] of this.watches) {
      // One at rest doesn't see that its worker is gone, or lives anew.
      if (workers.get(id)?.hasAcceptedToken !== true) watch.wake();
    }
    for (const id of workers.keys()) {
      if (!this.watches.has(id)) this.watch(id);
    }
  }

  /** To be called when a worker is given something. */
  wake(workerId: string): void {
    this.watches.get(workerId)?.wake();
  }

  private watch(workerId: string): void {
    const {lifecycle, logger, onFenced} = this.options;
    const watch = new WorkerWatch({
      ...this.options,
      workerId,
      onFenced: () => onFenced(workerId),
      onLookFailed: (worker, failure) => this.noteFailure(worker, failure),
    });
    this.watches.set(workerId, watch);
    const loop = async (signal: AbortSignal) => {
      await watch.run(signal);
      this.watches.delete(workerId);
    };
    lifecycle.run(`watch ${workerId}`, loop, cause => {
      this.watches.delete(workerId);
      logger.error('watch of a worker ended by a fault', {
        worker: workerId,
        cause: String(cause),
      });
    });
  }

  private noteFailure(worker: string, failure: OrderFailure): void {
    this.options.metrics.looksFailed.inc({reason: failure});
    this.options.logger.warn('look at worker failed', {worker, failure});
  }
}
