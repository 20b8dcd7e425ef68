/** Failures of requests for a session that this incarnation does not have. */
import {
  createFailure,
  FailureCode,
  formatIncarnation,
  isSameIncarnation,
  parseSessionId,
  type Failure,
  type Incarnation,
} from '@goldcrestpier/protocol';

/**
 * Builds the failure for a session `id` that `self` does not have. Sequence
 * numbers up to `lastSequence` belonged to sessions that have ended.
 */
export function createMissingSessionFailure(
  id: string,
  self: Incarnation,
  lastSequence: number,
): Failure {
  const identity = parseSessionId(id);
  if (identity === undefined) return createUnknownSessionFailure();
  const {owner, sequence} = identity;
  if (isSameIncarnation(owner, self)) {
    if (sequence > lastSequence) return createUnknownSessionFailure();
    return createFailure(FailureCode.SessionEnded, {session: id});
  }
  const name = formatIncarnation(owner);
  if (owner.zone === self.zone && owner.instance === self.instance) {
    // This process replaced that incarnation, which has therefore ended.
    return createFailure(FailureCode.OwnerLost, {owner: name});
  }
  return createFailure(FailureCode.OwnerUnreachable, {owner: name});
}

function createUnknownSessionFailure(): Failure {
  return createFailure(FailureCode.NotFound, {what: 'such session'});
}
