/** Says why a session cannot be used at this incarnation. */
import {
  createFailure,
  FailureCode,
  formatIncarnation,
  isSameIncarnation,
  parseSession,
  type Failure,
  type Incarnation,
} from '@goldcrestpier/protocol';

/** Why `id`, which `self` does not keep, cannot be used here. */
export function describeMissing(
  id: string,
  self: Incarnation,
  lastSequence: number,
): Failure {
  const identity = parseSession(id);
  if (identity === undefined) return describeUnknown();
  const {owner, sequence} = identity;
  if (isSameIncarnation(owner, self)) {
    if (sequence > lastSequence) return describeUnknown();
    return createFailure(FailureCode.SessionEnded, {session: id});
  }
  const name = formatIncarnation(owner);
  if (owner.zone === self.zone && owner.instance === self.instance) {
    // This process runs in the place of that one, which has therefore ended.
    return createFailure(FailureCode.OwnerLost, {owner: name});
  }
  return createFailure(FailureCode.OwnerUnreachable, {owner: name});
}

function describeUnknown(): Failure {
  return createFailure(FailureCode.NotFound, {what: 'such session'});
}
