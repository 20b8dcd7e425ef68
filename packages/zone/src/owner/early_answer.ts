/** Answers that callers get while runs of their job may go on. */
import {AbandonReason} from '@goldcrestpier/dispatch';
import type {OwnerAnswer} from './attempt.js';

/** Why a caller was answered before the runs of its job had certainly ended. */
export enum EarlyAnswerReason {
  /** No holder has told how the job ended. */
  HolderLost = 'holder_lost',
  /** The holder took this instance for lost. */
  OwnerLost = 'owner_lost',
  /** Another request cancelled the job for all its callers. */
  Cancelled = 'cancelled',
}

/** Finds the reason; undefined if all runs have ended. */
export function findEarlyAnswerReason(
  answer: OwnerAnswer,
  isCancelled: boolean,
): EarlyAnswerReason | undefined {
  if (answer.kind === 'unknown') {
    return isCancelled
      ? EarlyAnswerReason.Cancelled
      : EarlyAnswerReason.HolderLost;
  }
  const isOwnerLost =
    answer.kind === 'abandoned' && answer.reason === AbandonReason.OwnerLost;
  return isOwnerLost ? EarlyAnswerReason.OwnerLost : undefined;
}

/**
 * The answer to a caller whose job another request has cancelled: that it is
 * unknown how the job ended would have the caller send it again.
 */
export function toCancelledAnswer(answer: OwnerAnswer): OwnerAnswer {
  if (answer.kind !== 'unknown') return answer;
  return {kind: 'abandoned', reason: AbandonReason.Cancelled};
}
