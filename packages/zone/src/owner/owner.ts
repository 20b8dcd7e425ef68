/**
 * Answers for the jobs that callers handed to this instance: finds the holder,
 * hands the job on, and hands it on again when the holder is lost.
 */
import {
  RefusalReason,
  type Job,
  type JobProgress,
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
import type {
  JobAnswer,
  JobSubmission,
  ZoneCallFailure,
} from '../protocol/index.js';
import {Callers} from './callers.js';

/** How long a job waits for a holder before it is refused, in ms. */
const HOLDER_WAIT_MS = 1_000;
/** Pause before the holder is looked for again, in ms. */
const LOOK_AGAIN_MS = 20;
/** What a caller is told when there is no holder, in ms. */
const NO_HOLDER_RETRY_MS = 2_000;
/** How long a holder that another replaced may take to tell its state, in ms. */
const LAST_WORD_MS = 250;
/** Added to a job's time for the answer to come back, in ms. */
const ANSWER_MARGIN_MS = 500;

/** Why waiting for another holder ends; spares an error for each job. */
const ATTEMPT_OVER = 'the attempt is over';

/** Why a job could not be handed to a holder. */
export enum OwnerRefusal {
  /** No instance holds the zone's workers, or it can't be reached. */
  NoHolder = 'no_holder',
}

/** What the caller of a job is told. */
export type OwnerAnswer =
  | Exclude<JobAnswer, {kind: 'not_holder'}>
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason | OwnerRefusal;
      readonly retryAfterMs: Millis;
    }
  /** Handed to a holder that was lost; its runs end by themselves. */
  | {readonly kind: 'unknown'};

/** A holder that can be asked, local or a peer. */
export interface HolderTarget {
  readonly id: string;
  submit(
    message: JobSubmission,
    timeoutMs: Millis,
  ): Promise<Result<JobAnswer, ZoneCallFailure>>;
  /** Gives a job up; whether the holder has taken that. */
  cancel(jobId: string): Promise<boolean>;
}

/** What an owner needs. */
export interface OwnerOptions {
  readonly selfId: string;
  /** The holder now, if it can be reached. */
  readonly findHolder: () => HolderTarget | undefined;
  /** Waits until another instance than `from` is the holder. */
  readonly waitForChange: (from: string, signal: AbortSignal) => Promise<void>;
  /** Whether an instance of the zone was heard a moment ago. */
  readonly isAlive: (instanceId: string, now: Millis) => boolean;
  /** Called when the holder can't be asked, or says that it isn't. */
  readonly onHolderMissed: (now: Millis) => void;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
}

/** What earlier holders of a job may have done for it. */
type Past =
  | {readonly kind: 'none'}
  | {readonly kind: 'told'; readonly progress: JobProgress}
  /** Any of it may run anywhere. */
  | {readonly kind: 'unknown'};

/** How one attempt to have a job run ended. */
type Attempt =
  | {readonly kind: 'answered'; readonly answer: OwnerAnswer}
  | {readonly kind: 'lost'; readonly reason: string; readonly past: Past};

/** Hands jobs to the holder and brings the answers back. */
export class Owner {
  private readonly callers = new Callers();

  constructor(private readonly options: OwnerOptions) {}

  /** Answers a job. Aborting `signal` gives it up for this caller. */
  async run(job: Job, signal: AbortSignal): Promise<OwnerAnswer> {
    const caller = new AbortController();
    this.callers.enter(job.id, caller);
    caller.signal.addEventListener('abort', () => {
      if (this.callers.leave(job.id, caller)) void this.takeBack(job);
    });
    const abort = () => caller.abort();
    signal.addEventListener('abort', abort, {once: true});
    if (signal.aborted) abort();
    const answer = await this.handIn(job, caller.signal);
    signal.removeEventListener('abort', abort);
    this.callers.leave(job.id, caller);
    return answer;
  }

  /** Whether any caller waits here. */
  get hasJobs(): boolean {
    return !this.callers.isEmpty;
  }

  /** Whether a caller waits here for the job. */
  isWaitedFor(jobId: string): boolean {
    return this.callers.has(jobId);
  }

  /** Gives a job up for all its callers; false when it has none here. */
  giveUpAll(jobId: string): boolean {
    return this.callers.abort(jobId);
  }

  private async handIn(job: Job, signal: AbortSignal): Promise<OwnerAnswer> {
    let past: Past = {kind: 'none'};
    for (;;) {
      const now = readClock();
      const holder = this.options.findHolder();
      if (signal.aborted) return {kind: 'unknown'};
      if (now >= job.deadlineAt) return this.giveUp(job, past);
      if (holder === undefined) {
        this.options.onHolderMissed(now);
        const isLate = now - job.arrivedAt > HOLDER_WAIT_MS;
        if (isLate && past.kind === 'none') return this.giveUp(job, past);
        await sleep(LOOK_AGAIN_MS, signal);
        continue;
      }
      const attempt = await this.tryHolder(holder, job, past);
      if (attempt.kind === 'answered') return attempt.answer;
      past = attempt.past;
      this.options.onHolderMissed(readClock());
      this.noteLost(job, holder.id, attempt.reason, past);
      await sleep(LOOK_AGAIN_MS, signal);
    }
  }

  private async tryHolder(
    holder: HolderTarget,
    job: Job,
    past: Past,
  ): Promise<Attempt> {
    const result = await this.submit(holder, job, past);
    if (result === undefined) {
      return {kind: 'lost', reason: 'holder_changed', past: {kind: 'unknown'}};
    }
    if (result.isErr()) {
      const {kind: reason} = result.error;
      const wasSent = reason !== PeerFailureKind.NotSent;
      return {kind: 'lost', reason, past: wasSent ? {kind: 'unknown'} : past};
    }
    return readAnswer(result.value, past);
  }

  /** The holder's answer; undefined when another took its place without one. */
  private async submit(
    holder: HolderTarget,
    job: Job,
    past: Past,
  ): Promise<Result<JobAnswer, ZoneCallFailure> | undefined> {
    const {selfId, waitForChange, isAlive} = this.options;
    const now = readClock();
    const message = {
      ...toSubmission(job, selfId, past.kind !== 'none', now),
      progress: past.kind === 'told' ? past.progress : undefined,
    };
    const timeoutMs = message.remainingMs + ANSWER_MARGIN_MS;
    const answer = holder.submit(message, timeoutMs);
    const attempt = new AbortController();
    const change = waitForChange(holder.id, attempt.signal);
    const result = await Promise.race([answer, change]);
    attempt.abort(ATTEMPT_OVER);
    if (result !== undefined) return result;
    // A holder that lives tells what it knows as soon as it hears of the other.
    if (!isAlive(holder.id, readClock())) return undefined;
    return Promise.race([answer, sleep(LAST_WORD_MS).then(() => undefined)]);
  }

  /** Has the job of a caller that left given up, at whoever holds it. */
  private async takeBack({id, deadlineAt}: Job): Promise<void> {
    while (readClock() < deadlineAt) {
      // It was sent here again: what runs is wanted.
      if (this.callers.has(id)) return;
      const holder = this.options.findHolder();
      if (holder !== undefined && (await holder.cancel(id))) return;
      await sleep(LOOK_AGAIN_MS);
    }
    this.options.logger.warn('job not taken back', {job: id});
  }

  private noteLost(
    {id}: Job,
    holder: string,
    reason: string,
    past: Past,
  ): void {
    this.options.metrics.resubmissions.inc({reason});
    const fields = {job: id, holder, reason, past: past.kind};
    this.options.logger.warn('job handed in again', fields);
  }

  private giveUp(job: Job, past: Past): OwnerAnswer {
    this.options.logger.warn('job without a holder', {
      job: job.id,
      past: past.kind,
    });
    if (past.kind !== 'none') return {kind: 'unknown'};
    return {
      kind: 'refused',
      reason: OwnerRefusal.NoHolder,
      retryAfterMs: NO_HOLDER_RETRY_MS,
    };
  }
}

function readAnswer(answer: JobAnswer, past: Past): Attempt {
  if (answer.kind !== 'not_holder') {
    // Only the first holder knows of starts before a refusal.
    const isUnknown = answer.kind === 'refused' && past.kind !== 'none';
    const told: OwnerAnswer = isUnknown ? {kind: 'unknown'} : answer;
    return {kind: 'answered', answer: told};
  }
  const {kind: reason, mayHaveStarted, progress} = answer;
  if (!mayHaveStarted) return {kind: 'lost', reason, past};
  if (progress === undefined) {
    return {kind: 'lost', reason, past: {kind: 'unknown'}};
  }
  return {kind: 'lost', reason, past: {kind: 'told', progress}};
}
