/** What a planned stop needs of the parts of one instance. */
import {LogPart, readClock} from '@goldcrestpier/runtime';
import type {SuccessorPeer, PlannedStopOptions} from '../stop/index.js';
import type {Parts} from './index.js';

/** Joins the planned stop to membership and sessions. */
export function createStopOptions(parts: Parts): PlannedStopOptions {
  const {context, membership, sessions, readiness} = parts;
  const findPeer = (incarnation: string): SuccessorPeer | undefined => {
    const calls = membership.findLink(incarnation);
    return calls === undefined ? undefined : {incarnation, calls};
  };
  return {
    owner: sessions.owner,
    self: context.incarnation,
    announceLeaving: () => {
      readiness.leave();
      return membership.leave(readClock());
    },
    chooseSuccessor: (tried, now) => {
      const first = membership.chooseSuccessor(now)?.incarnation;
      const others = membership
        .linkedMembers()
        .map(({member}) => member.incarnation);
      const candidates = first === undefined ? others : [first, ...others];
      const next = candidates.find(each => !tried.has(each));
      return next === undefined ? undefined : findPeer(next);
    },
    announceSuccessor: successor =>
      membership.announceSuccessor(successor, readClock()),
    countOpenRequests: () => readiness.openRequests,
    logger: context.logs.forPart(LogPart.Entry),
  };
}
