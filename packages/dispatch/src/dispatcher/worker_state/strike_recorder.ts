/** Records faults of workers, which are ejected after several of them. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Run, WorkerRecord} from '../../workers/index.js';
import type {DispatchObserver} from '../observer.js';
import {addStrike, type StrikeReason} from './health.js';

/** Adds strikes to workers, one for consecutive runs of a job. */
export class StrikeRecorder {
  /** The job of each worker's last strike, by worker ID. */
  private readonly lastJobIds = new Map<string, string>();

  constructor(
    private readonly workers: ReadonlyMap<string, WorkerRecord>,
    private readonly observer: DispatchObserver,
  ) {}

  /** Records a strike against the worker of a run. */
  record({workerId, recordId}: Run, reason: StrikeReason, now: Millis): void {
    const worker = this.workers.get(workerId);
    if (worker === undefined) return;
    // If a job can't succeed, all of its tasks fail, whatever the worker.
    if (this.lastJobIds.get(workerId) === recordId) return;
    this.lastJobIds.set(workerId, recordId);
    const isEjected = addStrike(worker, this.workers, now);
    this.observer.workerStruck(workerId, reason, isEjected);
  }
}
