/** The jobs that owners of the zone have handed to its holder. */
import {
  AbandonReason,
  type Dispatcher,
  type EndedJob,
} from '@goldcrestpier/dispatch';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {JobAnswer, JobSubmission} from '../protocol/index.js';
import {busyRefusal, refusedAsBusy} from './refusals.js';
import type {LoopLoad} from './loop_load.js';
import {logSubmission} from './observer.js';
import {sumFreeMillis} from './rooms.js';
import {hasRunsOf} from './run_counts.js';
import {toJob} from './to_job.js';
import type {Waiters} from './waiters.js';

/** What a job desk needs. */
export interface JobDeskOptions {
  readonly dispatcher: Dispatcher;
  readonly waiters: Waiters;
  readonly load: LoopLoad;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  /** Called when something is known that decisions depend on. */
  readonly onChange: () => void;
}

/** Takes jobs to the dispatcher, and their ends back to the owners. */
export class JobDesk {
  /** Submissions of jobs whose earlier life is still being stopped. */
  private readonly postponed = new Map<string, JobSubmission>();

  constructor(private readonly options: JobDeskOptions) {}

  /** Takes a job; answers when it has ended. */
  submit(message: JobSubmission, now: Millis): Promise<JobAnswer> {
    const {load, logger, metrics} = this.options;
    const {id} = message;
    if (load.isSwamped(now) && this.isNew(message)) {
      logger.info('job refused', {job: id, reason: busyRefusal.reason});
      metrics.countOutcome(busyRefusal);
      return refusedAsBusy;
    }
    return new Promise(answer => this.take(message, answer, now));
  }

  /** One owner gives a job up; it is stopped when no other waits for it. */
  cancel(
    ownerId: string,
    jobId: string,
    reason: AbandonReason,
    now: Millis,
  ): void {
    const {dispatcher, waiters, logger, onChange} = this.options;
    if (!waiters.ownersOf(jobId).includes(ownerId)) return;
    const answer = {kind: 'abandoned', reason} as const;
    if (waiters.answerOwner(jobId, ownerId, answer) > 0) return;
    this.postponed.delete(jobId);
    logger.info('job given up', {job: jobId, reason, ownerId});
    dispatcher.cancel(jobId, reason, now);
    onChange();
  }

  /** Gives up the jobs of every owner for whom `isAlive` is false. */
  dropOwners(isAlive: (ownerId: string) => boolean, now: Millis): void {
    const {dispatcher, waiters} = this.options;
    for (const jobId of waiters.records) {
      const record = dispatcher.jobs.get(jobId);
      // One that has ended just now is about to be answered.
      if (record === undefined || record.isInbound) continue;
      for (const ownerId of waiters.ownersOf(jobId)) {
        if (isAlive(ownerId)) continue;
        this.cancel(ownerId, jobId, AbandonReason.OwnerLost, now);
      }
    }
  }

  /** Tells all that wait for a job how it ended. */
  tellEnd({id, outcome}: EndedJob, now: Millis): void {
    const {dispatcher, waiters, metrics, onChange} = this.options;
    const postponed = this.postponed.get(id);
    if (postponed !== undefined) {
      this.postponed.delete(id);
      dispatcher.submit(toJob(postponed, now), postponed.isResumed, now);
      onChange();
      return;
    }
    metrics.countOutcome(outcome);
    waiters.answerAll(id, outcome);
  }

  /** Tells all owners that this instance holds the workers no more. */
  letGo(now: Millis): void {
    const {dispatcher, waiters} = this.options;
    for (const jobId of waiters.records) {
      const mayHaveStarted = dispatcher.jobs.get(jobId)?.hasStarted ?? true;
      const progress = dispatcher.describeProgress(jobId, now);
      waiters.answerAll(jobId, {kind: 'not_holder', mayHaveStarted, progress});
    }
  }

  /** Whether nothing is known here of the job, so that it may be refused. */
  private isNew({id, isResumed}: JobSubmission): boolean {
    const {dispatcher} = this.options;
    if (isResumed || dispatcher.jobs.has(id)) return false;
    return !hasRunsOf(dispatcher, id);
  }

  private take(
    message: JobSubmission,
    answer: (answer: JobAnswer) => void,
    now: Millis,
  ): void {
    const {dispatcher, waiters, logger, onChange} = this.options;
    const {id, ownerId, isResumed, progress} = message;
    waiters.add(id, {ownerId, answer});
    const known = dispatcher.jobs.get(id);
    if (known?.pendingOutcome !== undefined) this.postponed.set(id, message);
    else dispatcher.submit(toJob(message, now), isResumed, now, progress);
    const freeMillis = sumFreeMillis(dispatcher, now);
    logSubmission(message, known !== undefined, freeMillis, logger);
    onChange();
  }
}
