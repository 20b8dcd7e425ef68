/** Keeps one poller for each worker of a dispatcher. */
import type {
  Dispatcher,
  JobProgress,
  WorkerRequestFailure,
} from '@goldcrestpier/dispatch';
import {
  readClock,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {WorkerPort} from '../ports/index.js';
import type {LostResponses} from './lost_responses.js';
import {
  ProcessConfirmation,
  type WorkerProcesses,
} from './process_confirmation.js';
import {ProcessWatch} from './process_watch.js';
import {WorkerPoller} from './worker_poller.js';

/** Dependencies of the pollers. */
export interface WorkerPollersOptions {
  readonly token: number;
  readonly dispatcher: Dispatcher;
  readonly workerPort: WorkerPort;
  readonly lostResponses: LostResponses;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
  /** Called when state that scheduling depends on has changed. */
  readonly onChange: () => void;
  readonly onFenced: (workerId: string) => void;
}

/** Starts a poller for each new worker; it ends when the worker is removed. */
export class WorkerPollers {
  /** Confirms the processes of workers before runs are started there. */
  readonly processes: WorkerProcesses;
  private readonly pollers = new Map<string, WorkerPoller>();
  private readonly watch: ProcessWatch;

  constructor(private readonly options: WorkerPollersOptions) {
    this.watch = new ProcessWatch(options.workerPort, readClock());
    this.processes = new ProcessConfirmation({
      ...options,
      onPollFailed: (worker, failure) => {
        this.handleFailure(worker, failure);
        this.wake(worker);
        options.onChange();
      },
    });
  }

  /** Makes the pollers match the dispatcher's list of workers. */
  updatePollers(): void {
    const {workers} = this.options.dispatcher;
    for (const [id, poller] of this.pollers) {
      // An idle poller doesn't notice that its worker was removed or restarted.
      if (workers.get(id)?.hasAcceptedToken !== true) poller.wake();
    }
    for (const id of workers.keys()) {
      if (!this.pollers.has(id)) this.startPoller(id);
    }
  }

  /** Polls the idle workers whose process may have seen no fencing token. */
  pollUnfenced(now: Millis): void {
    if (!this.watch.mayCommandsArrive(now)) return;
    const {workers} = this.options.dispatcher;
    for (const [id, poller] of this.pollers) {
      const record = workers.get(id);
      if (record !== undefined && this.watch.mayBeUnfenced(record, now))
        poller.confirmProcess(now);
    }
  }

  /** Wakes the poller of a worker that was sent a command. */
  wake(workerId: string): void {
    this.pollers.get(workerId)?.wake();
  }

  /** Wakes the pollers of workers on which a former holder reported runs. */
  wakeReported(progress: JobProgress | undefined): void {
    for (const {state} of progress?.tasks ?? []) {
      if (state.kind === 'running') this.wake(state.workerId);
    }
  }

  private startPoller(workerId: string): void {
    const {lifecycle, logger, onFenced} = this.options;
    const poller = new WorkerPoller({
      ...this.options,
      workerId,
      watch: this.watch,
      onFenced: () => onFenced(workerId),
      onPollFailed: (worker, failure) => this.handleFailure(worker, failure),
    });
    this.pollers.set(workerId, poller);
    const loop = async (signal: AbortSignal) => {
      await poller.run(signal);
      this.pollers.delete(workerId);
    };
    lifecycle.run(`poll ${workerId}`, loop, cause => {
      this.pollers.delete(workerId);
      logger.error('worker poller stopped after an unexpected error', {
        worker: workerId,
        cause: String(cause),
      });
    });
  }

  private handleFailure(worker: string, failure: WorkerRequestFailure): void {
    this.options.metrics.failedPolls.inc({reason: failure});
    this.options.logger.warn('worker poll failed', {worker, failure});
  }
}
