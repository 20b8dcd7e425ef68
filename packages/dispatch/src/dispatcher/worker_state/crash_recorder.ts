/** Records which runs were on a worker when it crashed. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Crash, CrashHistory} from '../../crashes/index.js';
import type {Run, WorkerRecord} from '../../workers/index.js';
import type {DispatchObserver} from '../observer.js';

/** Adds crashes to the history of an instance. */
export class CrashRecorder {
  constructor(
    private readonly history: CrashHistory,
    private readonly observer: DispatchObserver,
  ) {}

  /** Records that a run's worker has probably crashed. */
  record(run: Run, now: Millis): void {
    // The worker had crashed before the task could start there.
    if (run.isStartRefused) return;
    if (!this.history.record(toCrash(run), now)) return;
    this.observer.crashRecorded(run, this.history.judge(run.key));
  }

  /**
   * Settles the runs whose leases expired while the worker did not answer: it
   * has crashed if another incarnation answers, else it was only unreachable.
   */
  explainLosses(
    worker: WorkerRecord,
    hasRestarted: boolean,
    now: Millis,
  ): void {
    const {unexplainedLosses: losses, info} = worker;
    if (losses.length === 0) return;
    worker.unexplainedLosses = [];
    this.observer.lossesExplained(info.id, losses, hasRestarted);
    for (const run of losses) {
      if (hasRestarted) this.record(run, now);
      else this.history.retract(toCrash(run));
    }
  }
}

function toCrash({key, workerId, workerBornAt, isShared}: Run): Crash {
  return {task: key, workerId, workerBornAt, isShared};
}
