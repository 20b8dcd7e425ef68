/**
 * Answers for the jobs that callers handed to this instance: finds the holder,
 * hands the job on, and hands it on again when the holder is lost.
 */
import {RefusalReason, type Job} from '@goldcrestpier/dispatch';
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

/** How long a job waits for a holder before it is refused, in ms. */
const HOLDER_WAIT_MS = 1_000;
/** Pause before the holder is looked for again, in ms. */
const LOOK_AGAIN_MS = 20;
/** What a caller is told when there is no holder, in ms. */
const NO_HOLDER_RETRY_MS = 2_000;
/** Added to a job's time for the answer to come back, in ms. */
const ANSWER_MARGIN_MS = 500;

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
  cancel(jobId: string): void;
}

/** What an owner needs. */
export interface OwnerOptions {
  readonly selfId: string;
  /** The holder now, if it can be reached. */
  readonly findHolder: () => HolderTarget | undefined;
  /** Waits until another instance than `from` is the holder. */
  readonly waitForChange: (from: string, signal: AbortSignal) => Promise<void>;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
}

/** Hands jobs to the holder and brings the answers back. */
export class Owner {
  constructor(private readonly options: OwnerOptions) {}

  /** Answers a job. Aborting `signal` gives it up. */
  async run(job: Job, signal: AbortSignal): Promise<OwnerAnswer> {
    let mayHaveStarted = false;
    for (;;) {
      const now = readClock();
      const holder = this.options.findHolder();
      if (signal.aborted) return {kind: 'unknown'};
      if (now >= job.deadlineAt) return this.giveUp(job, mayHaveStarted);
      if (holder === undefined) {
        const isLate = now - job.arrivedAt > HOLDER_WAIT_MS;
        if (isLate && !mayHaveStarted) return this.giveUp(job, false);
        await sleep(LOOK_AGAIN_MS, signal);
        continue;
      }
      const attempt = await this.tryHolder(holder, job, mayHaveStarted, signal);
      if (attempt.answer !== undefined) return attempt.answer;
      mayHaveStarted ||= attempt.mayHaveStarted;
      await sleep(LOOK_AGAIN_MS, signal);
    }
  }

  private async tryHolder(
    holder: HolderTarget,
    job: Job,
    isResumed: boolean,
    signal: AbortSignal,
  ): Promise<{answer?: OwnerAnswer; mayHaveStarted: boolean}> {
    const now = readClock();
    const {selfId} = this.options;
    const message = toSubmission(job, selfId, isResumed, now);
    const timeoutMs = message.remainingMs + ANSWER_MARGIN_MS;
    const cancel = () => holder.cancel(job.id);
    signal.addEventListener('abort', cancel, {once: true});
    const attempt = new AbortController();
    const result = await Promise.race([
      holder.submit(message, timeoutMs),
      this.options.waitForChange(holder.id, attempt.signal),
    ]);
    attempt.abort();
    signal.removeEventListener('abort', cancel);
    if (result === undefined) {
      return this.noteLost(job, holder.id, 'holder_changed', true);
    }
    if (result.isErr()) {
      const {kind} = result.error;
      const wasSent = kind !== PeerFailureKind.NotSent;
      return this.noteLost(job, holder.id, kind, wasSent);
    }
    const answer = result.value;
    if (answer.kind === 'not_holder') {
      const {mayHaveStarted} = answer;
      return this.noteLost(job, holder.id, answer.kind, mayHaveStarted);
    }
    // Only the first holder knows of starts before a refusal.
    if (answer.kind === 'refused' && isResumed) {
      return {answer: {kind: 'unknown'}, mayHaveStarted: true};
    }
    return {answer, mayHaveStarted: true};
  }

  private noteLost(
    job: Job,
    holder: string,
    reason: string,
    mayHaveStarted: boolean,
  ): {mayHaveStarted: boolean} {
    this.options.metrics.resubmissions.inc({reason});
    const fields = {job: job.id, holder, reason, mayHaveStarted};
    this.options.logger.warn('job handed in again', fields);
    return {mayHaveStarted};
  }

  private giveUp(job: Job, mayHaveStarted: boolean): OwnerAnswer {
    this.options.logger.warn('job without a holder', {
      job: job.id,
      mayHaveStarted,
    });
    if (mayHaveStarted) return {kind: 'unknown'};
    return {
      kind: 'refused',
      reason: OwnerRefusal.NoHolder,
      retryAfterMs: NO_HOLDER_RETRY_MS,
    };
  }
}
