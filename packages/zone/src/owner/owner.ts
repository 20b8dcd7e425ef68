/**
 * Owns the jobs that callers sent to this instance: finds the holder, submits
 * the job to it, and resubmits the job if the holder is lost.
 */
import {
  AbandonReason,
  DELEGATED_RUN_MAX_MS,
  type Job,
  type TaskHistory,
} from '@goldcrestpier/dispatch';
import {PeerFailureKind} from '@goldcrestpier/peers';
import {
  readClock,
  sleep,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';
import {toSubmission} from '../holder/index.js';
import type {ZoneMetrics} from '../metrics/index.js';
import type {JobAnswer, ZoneCallFailure} from '../protocol/index.js';
import {
  OwnerRefusal,
  findLastSubmission,
  toAttempt,
  type Attempt,
  type History,
  type OwnerAnswer,
} from './attempt.js';
import {Callers} from './callers.js';
import {findEarlyAnswerReason, toCancelledAnswer} from './early_answer.js';
import type {
  HolderClient,
  OwnCancellation,
  OwnRequest,
} from './holder_client.js';
import {
  ATTEMPT_ENDED,
  cancelAtHolder,
  HOLDER_RETRY_MS,
} from './holder_cancellation.js';
import {
  chooseHolderRetry,
  findHolderWaitEnd,
  HolderWaits,
} from './holder_wait.js';
import {UnansweredSubmissions} from './unanswered_submissions.js';

/** How long to wait for the last answer of a replaced holder, in ms. */
const FORMER_HOLDER_REPORT_MS = 250;
/** Added to a job's remaining time to send back its answer, in ms. */
const ANSWER_MARGIN_MS = 500;
/** Dependencies of an owner. */
export interface OwnerOptions {
  readonly selfId: string;
  /** What this instance knows of tasks. */
  readonly history: TaskHistory;
  /** Finds the current holder, if it can be reached. */
  readonly findHolder: () => HolderClient | undefined;
  /** Resolves when another instance than `from` is the holder. */
  readonly waitForHolderChange: (
    from: string,
    signal: AbortSignal,
  ) => Promise<void>;
  /** Whether an instance of the zone was heard recently. */
  readonly isAlive: (instanceId: string, now: Millis) => boolean;
  /** Time before which the zone has no holder, if that is known. */
  readonly holderExpectedAt: (now: Millis) => Millis | undefined;
  /** Called when the holder is unreachable or denies being the holder. */
  readonly onHolderUnavailable: (now: Millis) => void;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
}

/** Submits jobs to the holder and returns the results. */
export class Owner {
  private readonly callers = new Callers();
  private readonly unanswered = new UnansweredSubmissions();
  private readonly waits = new HolderWaits();
  private lastRequest = 0;

  constructor(private readonly options: OwnerOptions) {}

  /** Runs a job. Aborting `signal` cancels it for this caller. */
  async run(job: Job, signal: AbortSignal): Promise<OwnerAnswer> {
    const caller = new AbortController();
    this.lastRequest += 1;
    const request = {job, number: this.lastRequest};
    this.callers.register(job.id, caller);
    caller.signal.addEventListener('abort', () => {
      const reason = signal.aborted
        ? AbandonReason.CallerLeft
        : AbandonReason.Cancelled;
      if (this.callers.leave(job.id, caller))
        void this.cancelRequests(job, reason);
    });
    const abort = () => caller.abort();
    signal.addEventListener('abort', abort, {once: true});
    if (signal.aborted) abort();
    const answer = await this.submitUntilAnswered(request, caller.signal);
    this.waits.remove(request);
    // A caller that has left gets no answer.
    if (!signal.aborted) this.recordAnswer(job, answer, caller.signal.aborted);
    signal.removeEventListener('abort', abort);
    if (this.callers.end(job.id, caller, answer))
      void this.cancelRequests(job, AbandonReason.CallerLeft);
    return caller.signal.aborted ? toCancelledAnswer(answer) : answer;
  }

  /** Whether any caller of this instance waits. */
  get hasJobs(): boolean {
    return !this.callers.isEmpty;
  }

  /** Whether a caller of this instance waits for the job. */
  hasCallers(jobId: string): boolean {
    return this.callers.has(jobId);
  }

  /** Cancels a job for all its callers; false if it has none here. */
  cancelForAllCallers(jobId: string): boolean {
    return this.callers.abort(jobId);
  }

  /** Cancels all requests so far for a job. */
  private cancelRequests(
    job: Job,
    reason: OwnCancellation['reason'],
  ): Promise<void> {
    const {lastRequest} = this;
    const cancellation = {jobId: job.id, lastRequest, reason};
    return cancelAtHolder(job, cancellation, this.callers, this.options);
  }

  private async submitUntilAnswered(
    request: OwnRequest,
    signal: AbortSignal,
  ): Promise<OwnerAnswer> {
    const {job} = request;
    let history: History = {kind: 'none'};
    for (;;) {
      const now = readClock();
      const holder = this.options.findHolder();
      if (signal.aborted) return {kind: 'unknown'};
      if (now >= findLastSubmission(job, history))
        return this.answerWithoutHolder(job, history);
      if (holder === undefined) {
        this.options.onHolderUnavailable(now);
        const mayWait = this.mayWait(request, now);
        if (!mayWait && history.kind === 'none')
          return this.answerWithoutHolder(job, history);
        await sleep(HOLDER_RETRY_MS, signal);
        continue;
      }
      this.waits.remove(request);
      if (history.kind === 'none' && this.mayRunElsewhere(job, holder.id, now))
        history = {kind: 'unknown'};
      const attempt = await this.tryHolder(holder, request, history);
      if (attempt.kind === 'answered') return attempt.answer;
      if (attempt.kind === 'cancelled') return this.awaitRunEnds(signal);
      history = attempt.history;
      this.options.onHolderUnavailable(readClock());
      this.logResubmission(job, holder.id, attempt.reason, history);
      await sleep(HOLDER_RETRY_MS, signal);
    }
  }

  /** Waits until nothing of a cancelled job without a holder runs any more. */
  private async awaitRunEnds(signal: AbortSignal): Promise<OwnerAnswer> {
    await sleep(DELEGATED_RUN_MAX_MS, signal);
    return {kind: 'abandoned', reason: AbandonReason.OwnerLost};
  }

  /** Whether an earlier request for the job may run at another holder. */
  private mayRunElsewhere(
    {id}: Job,
    holderId: string | undefined,
    now: Millis,
  ): boolean {
    return this.unanswered.isElsewhere(id, holderId, now);
  }

  /** Whether a new holder may still end a job usefully, and it can be kept. */
  private mayWait(request: OwnRequest, now: Millis): boolean {
    const holderAt = Math.max(now, this.options.holderExpectedAt(now) ?? now);
    if (holderAt > findHolderWaitEnd(request.job)) return false;
    return this.waits.add(request);
  }

  private async tryHolder(
    holder: HolderClient,
    request: OwnRequest,
    history: History,
  ): Promise<Attempt> {
    const {id} = request.job;
    const earlier = this.unanswered.record(id, holder.id, readClock());
    const result = await this.submit(holder, request, history);
    if (result === undefined) {
      return {
        kind: 'lost',
        reason: 'holder_changed',
        history: {kind: 'unknown'},
      };
    }
    if (result.isErr()) {
      const {kind: reason} = result.error;
      const wasSent = reason !== PeerFailureKind.NotSent;
      if (!wasSent) this.unanswered.restore(id, earlier, readClock());
      return {
        kind: 'lost',
        reason,
        history: wasSent ? {kind: 'unknown'} : history,
      };
    }
    const answer = result.value;
    if (answer.kind === 'not_holder')
      this.options.history.merge(answer, readClock());
    else this.unanswered.settle(id, holder.id, readClock());
    return toAttempt(answer, history);
  }

  /** Returns the answer; undefined if the holder was replaced without one. */
  private async submit(
    holder: HolderClient,
    {job, number: request}: OwnRequest,
    history: History,
  ): Promise<Result<JobAnswer, ZoneCallFailure> | undefined> {
    const {selfId, history: known, waitForHolderChange, isAlive} = this.options;
    const now = readClock();
    const message = {
      ...toSubmission(job, selfId, history.kind !== 'none', now),
      request,
      progress: history.kind === 'told' ? history.progress : undefined,
      ...known.reportJob(job.id, now),
    };
    const timeoutMs = findLastSubmission(job, history) - now + ANSWER_MARGIN_MS;
    const answer = holder.submit(message, timeoutMs);
    const attempt = new AbortController();
    const change = waitForHolderChange(holder.id, attempt.signal);
    const result = await Promise.race([answer, change]);
    attempt.abort(ATTEMPT_ENDED);
    if (result !== undefined) return result;
    // A replaced holder that is alive reports the progress of its jobs.
    if (!isAlive(holder.id, readClock())) return undefined;
    return Promise.race([
      answer,
      sleep(FORMER_HOLDER_REPORT_MS).then(() => undefined),
    ]);
  }

  /** Logs an answer that is given while runs of the job may go on. */
  private recordAnswer(
    {id, deadlineAt}: Job,
    answer: OwnerAnswer,
    isCancelled: boolean,
  ): void {
    const reason = findEarlyAnswerReason(answer, isCancelled);
    if (reason === undefined) return;
    this.options.metrics.earlyAnswers.inc({reason});
    const remainingMs = Math.round(deadlineAt - readClock());
    const fields = {job: id, reason, remainingMs};
    this.options.logger.info('answered while runs may go on', fields);
  }

  private logResubmission(
    {id}: Job,
    holder: string,
    reason: string,
    history: History,
  ): void {
    this.options.metrics.resubmissions.inc({reason});
    const fields = {job: id, holder, reason, past: history.kind};
    this.options.logger.warn('job is resubmitted to the holder', fields);
  }

  private answerWithoutHolder(job: Job, history: History): OwnerAnswer {
    const now = readClock();
    this.options.logger.warn('no holder available for the job', {
      job: job.id,
      past: history.kind,
      ageMs: Math.round(now - job.arrivedAt),
      waiting: this.waits.count,
    });
    if (history.kind !== 'none' || this.mayRunElsewhere(job, undefined, now))
      return {kind: 'unknown'};
    const retryAfterMs = chooseHolderRetry(
      this.options.holderExpectedAt(now),
      now,
    );
    return {kind: 'refused', reason: OwnerRefusal.NoHolder, retryAfterMs};
  }
}
