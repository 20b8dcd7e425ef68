/** Attempts to run a job at a holder, and what they leave to the next one. */
import {
  DELEGATED_RUN_MAX_MS,
  type Job,
  type JobProgress,
  type RefusalReason,
} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobAnswer} from '../protocol/index.js';

/** Why a job could not be submitted to a holder. */
export enum OwnerRefusal {
  /** The zone has no holder, or it can't be reached. */
  NoHolder = 'no_holder',
}

/** The result of a job as returned to its caller. */
export type OwnerAnswer =
  | Exclude<JobAnswer, {kind: 'not_holder'}>
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason | OwnerRefusal;
      readonly retryAfterMs: Millis;
    }
  /** Submitted to a holder that was lost; runs end when leases expire. */
  | {readonly kind: 'unknown'};

/** What is known about the tasks that earlier holders started for a job. */
export type History =
  | {readonly kind: 'none'}
  | {readonly kind: 'told'; readonly progress: JobProgress}
  /** Any of its tasks may be running. */
  | {readonly kind: 'unknown'};

/** How one attempt to run a job at a holder ended. */
export type Attempt =
  | {readonly kind: 'answered'; readonly answer: OwnerAnswer}
  | {readonly kind: 'lost'; readonly reason: string; readonly history: History}
  /** The holder took this owner for lost and stepped down since. */
  | {readonly kind: 'cancelled'};

/** Finds what an answer means, after what earlier holders left. */
export function toAttempt(answer: JobAnswer, history: History): Attempt {
  if (answer.kind !== 'not_holder') {
    // A later holder's refusal doesn't exclude runs that earlier ones started.
    const isUnknown = answer.kind === 'refused' && history.kind !== 'none';
    const ownerAnswer: OwnerAnswer = isUnknown ? {kind: 'unknown'} : answer;
    return {kind: 'answered', answer: ownerAnswer};
  }
  if (answer.isCancelled === true) return {kind: 'cancelled'};
  const {kind: reason, mayHaveStarted, progress} = answer;
  if (!mayHaveStarted) return {kind: 'lost', reason, history};
  if (progress === undefined) {
    return {kind: 'lost', reason, history: {kind: 'unknown'}};
  }
  return {kind: 'lost', reason, history: {kind: 'told', progress}};
}

/**
 * The latest time to submit a job. The runs that an earlier holder has left of
 * it may go on past its deadline; the next holder stops them and answers when
 * they have ended.
 */
export function findLastSubmission({deadlineAt}: Job, {kind}: History): Millis {
  return kind === 'none' ? deadlineAt : deadlineAt + DELEGATED_RUN_MAX_MS;
}
