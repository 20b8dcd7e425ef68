/** Handles the jobs that owners in the zone submit to its holder. */
import {
  AbandonReason,
  type Dispatcher,
  type EndedJob,
  type Job,
  type TaskHistory,
} from '@goldcrestpier/dispatch';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import {
  JobAction,
  type JobAnswer,
  type JobCancellation,
  type JobSubmission,
} from '../protocol/index.js';
import {EarlyCancellations, UNNUMBERED_REQUEST} from './early_cancellations.js';
import {busyRefusal, busyAnswer} from './refusals.js';
import type {OverloadDetector} from './overload_detector.js';
import {logAcceptedJob} from './observer.js';
import {sumFreeMillis} from './free_capacity.js';
import {countRunsOf, hasRunsOf} from './run_counts.js';
import {toJob} from './job_conversion.js';
import type {PendingAnswers} from './pending_answers.js';
import {postpone, submitPostponed, type PostponedJob} from './postponed_job.js';

const deadlineAnswer = {
  kind: 'abandoned',
  reason: AbandonReason.Deadline,
} as const;

/** Dependencies of a submission handler. */
export interface SubmissionHandlerOptions {
  readonly dispatcher: Dispatcher;
  /** What the instance knows of tasks. */
  readonly history: TaskHistory;
  readonly pendingAnswers: PendingAnswers;
  readonly overloadDetector: OverloadDetector;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  /** Called when state that scheduling depends on has changed. */
  readonly onChange: () => void;
}

/** Submits jobs to the dispatcher and returns the results to the owners. */
export class SubmissionHandler {
  /** Resubmitted jobs whose earlier record is still being stopped. */
  private readonly postponed = new Map<string, PostponedJob>();
  private readonly earlyCancellations = new EarlyCancellations();

  constructor(private readonly options: SubmissionHandlerOptions) {}

  /** Accepts or refuses a job; resolves when it has ended. */
  submit(message: JobSubmission, now: Millis): Promise<JobAnswer> {
    const {overloadDetector, logger, metrics} = this.options;
    const {id, ownerId, request} = message;
    const reason = this.earlyCancellations.find(message, now);
    if (reason !== undefined) {
      const fields = {job: id, ownerId, request, reason};
      logger.info('job was cancelled before it arrived', fields);
      return Promise.resolve({kind: 'abandoned', reason});
    }
    if (overloadDetector.isOverloaded(now) && this.isNew(message, now)) {
      logger.info('job refused', {job: id, reason: busyRefusal.reason});
      metrics.countOutcome(busyRefusal);
      return busyAnswer;
    }
    return new Promise(answer => this.accept(message, answer, now));
  }

  /** Cancels requests of one owner; the job is stopped when no other waits. */
  cancel(
    {ownerId, jobId, lastRequest = Infinity, reason}: JobCancellation,
    now: Millis,
  ): void {
    const {dispatcher, pendingAnswers, onChange} = this.options;
    const abandonReason = reason ?? AbandonReason.CallerLeft;
    const answer = {kind: 'abandoned', reason: abandonReason} as const;
    const requests = {ownerId, lastRequest};
    const isAnswered = pendingAnswers.answerRequests(jobId, requests, answer);
    // Others that it names may still be on their way.
    if (!isAnswered || Number.isFinite(lastRequest)) {
      const cancelled = {...requests, jobId, reason: abandonReason};
      this.earlyCancellations.add(cancelled, now);
    }
    if (isAnswered) {
      if (pendingAnswers.findOwners(jobId).length > 0) return;
      this.stopJob(ownerId, jobId, abandonReason, now);
      return;
    }
    // An earlier holder may have left runs of it.
    if (!dispatcher.jobs.has(jobId))
      dispatcher.cancel(jobId, abandonReason, now);
    onChange();
  }

  /**
   * Finds a job, or cancels it for all its owners, also for one that submits it
   * soon; whether an owner waits for the job, or it goes on for none.
   */
  inquire(jobId: string, action: JobAction, now: Millis): boolean {
    const isKnown = this.isKnown(jobId);
    switch (action) {
      case JobAction.Find:
        break;
      case JobAction.Cancel:
        this.cancelForAllOwners(jobId, now);
    }
    return isKnown;
  }

  private isKnown(jobId: string): boolean {
    const {dispatcher, pendingAnswers} = this.options;
    if (pendingAnswers.findOwners(jobId).length > 0) return true;
    const record = dispatcher.jobs.get(jobId);
    if (record === undefined || record.isInbound) return false;
    return record.pendingOutcome === undefined;
  }

  private cancelForAllOwners(jobId: string, now: Millis): void {
    const {pendingAnswers} = this.options;
    const reason = AbandonReason.Cancelled;
    const isKnown = this.isKnown(jobId);
    this.earlyCancellations.addForAllOwners(jobId, isKnown, now);
    if (!isKnown) return;
    const owners = pendingAnswers.findOwners(jobId);
    pendingAnswers.answerAll(jobId, {kind: 'abandoned', reason});
    this.stopJob(owners.join(), jobId, reason, now);
  }

  /**
   * Cancels the jobs all of whose owners are lost, that is, `isAlive` is false.
   * A lost owner is answered only when its job has ended: if it is alive after
   * all, its caller may send the job again on the answer.
   */
  cancelJobsOfLostOwners(
    isAlive: (ownerId: string) => boolean,
    now: Millis,
  ): void {
    const {dispatcher, pendingAnswers} = this.options;
    for (const jobId of pendingAnswers.recordIds) {
      const record = dispatcher.jobs.get(jobId);
      // A job without a record has just ended and is about to be answered.
      if (record === undefined || record.isInbound) continue;
      const owners = pendingAnswers.findOwners(jobId);
      const lost = owners.filter(ownerId => !isAlive(ownerId));
      if (lost.length === 0) continue;
      for (const ownerId of lost) pendingAnswers.markLost(jobId, ownerId);
      if (lost.length < owners.length) continue;
      this.stopJob(lost.join(), jobId, AbandonReason.OwnerLost, now);
    }
  }

  /** Answers the owners of jobs that have ended or whose time is over. */
  answerJobs(endedJobs: readonly EndedJob[], now: Millis): void {
    for (const endedJob of endedJobs) this.answerEndedJob(endedJob, now);
    this.answerOverdue(now);
  }

  /** Answers all owners of an ended job, or submits it again if postponed. */
  answerEndedJob({id, outcome}: EndedJob, now: Millis): void {
    const {dispatcher, pendingAnswers, metrics, onChange} = this.options;
    const postponed = this.postponed.get(id);
    if (postponed !== undefined) {
      this.postponed.delete(id);
      submitPostponed(dispatcher, postponed, now);
      onChange();
      return;
    }
    metrics.countOutcome(outcome);
    pendingAnswers.answerAll(id, outcome);
  }

  /**
   * Answers the owners of jobs that have been given up although a run of them
   * may still start, and of postponed jobs whose time is over.
   */
  private answerOverdue(now: Millis): void {
    const {dispatcher, pendingAnswers} = this.options;
    for (const {id, outcome} of dispatcher.takeAnswerableJobs()) {
      if (!this.postponed.has(id)) pendingAnswers.answerAll(id, outcome);
    }
    for (const [id, {job}] of this.postponed) {
      const reason = this.findAbandonReason(job, now);
      if (reason === undefined) {
        pendingAnswers.answerOverdue(id, deadlineAnswer, now);
        continue;
      }
      this.postponed.delete(id);
      pendingAnswers.answerAll(id, {kind: 'abandoned', reason});
    }
  }

  /** Why a postponed job can't be served any more; undefined if it can. */
  private findAbandonReason(
    {id, deadlineAt}: Job,
    now: Millis,
  ): AbandonReason | undefined {
    const {unansweredStarts} = this.options.history;
    if (now >= deadlineAt) return AbandonReason.Deadline;
    return unansweredStarts.findJobEnd(id, now) >= deadlineAt
      ? AbandonReason.StartUnanswered
      : undefined;
  }

  /** Tells all owners that this instance is no longer the holder. */
  answerNotHolder(now: Millis): void {
    const {dispatcher, pendingAnswers, history} = this.options;
    dispatcher.recordOutstandingStarts(now);
    for (const jobId of pendingAnswers.recordIds) {
      const mayHaveStarted = dispatcher.jobs.get(jobId)?.mayHaveRuns ?? true;
      const progress = dispatcher.describeProgress(jobId, now);
      const isCancelled = pendingAnswers.findOwners(jobId).length === 0;
      pendingAnswers.answerAll(jobId, {
        kind: 'not_holder',
        mayHaveStarted,
        progress,
        ...(isCancelled && {isCancelled}),
        ...history.reportJob(jobId, now),
      });
    }
  }

  private stopJob(
    ownerId: string,
    jobId: string,
    reason: AbandonReason,
    now: Millis,
  ): void {
    const {dispatcher, logger, onChange} = this.options;
    this.postponed.delete(jobId);
    const runsLeft = countRunsOf(dispatcher, jobId);
    logger.info('job cancelled', {job: jobId, reason, ownerId, runsLeft});
    dispatcher.cancel(jobId, reason, now);
    onChange();
  }

  /** Whether nothing is known to run of the job, so that it may be refused. */
  private isNew({id, isResumed}: JobSubmission, now: Millis): boolean {
    const {dispatcher} = this.options;
    if (isResumed || dispatcher.jobs.has(id)) return false;
    if (dispatcher.mayRunElsewhere(id, now)) return false;
    return !hasRunsOf(dispatcher, id);
  }

  private accept(
    message: JobSubmission,
    answer: (answer: JobAnswer) => void,
    now: Millis,
  ): void {
    const {dispatcher, pendingAnswers, logger, onChange} = this.options;
    const {id, ownerId, isResumed, progress} = message;
    const {request = UNNUMBERED_REQUEST} = message;
    // A message says how much time is left from its arrival on.
    const job = toJob(message, now);
    const {deadlineAt} = job;
    pendingAnswers.add(id, {ownerId, request, deadlineAt, answer});
    const known = dispatcher.jobs.get(id);
    if (known?.pendingOutcome === undefined)
      dispatcher.submit(job, isResumed, now, progress);
    else {
      const history = {isResumed, progress};
      const earlier = this.postponed.get(id);
      this.postponed.set(id, postpone(earlier, job, history));
    }
    const freeMillis = sumFreeMillis(dispatcher, now);
    const record = dispatcher.jobs.get(id);
    const objectiveMs = record && record.dueAt - record.job.arrivedAt;
    const isKnown = known !== undefined;
    logAcceptedJob(message, {isKnown, freeMillis, objectiveMs}, logger);
    onChange();
  }
}
