/** Connects the planned stop to the components of an instance. */
import {LogPart, readClock} from '@goldcrestpier/runtime';
import type {SuccessorPeer, PlannedStopOptions} from '../stop/index.js';
import type {Components} from './index.js';

/** Creates the options of a planned stop from the components. */
export function createPlannedStopOptions(
  components: Components,
): PlannedStopOptions {
  const {context, membership, sessions, readiness} = components;
  const findSuccessor = (incarnation: string): SuccessorPeer | undefined => {
    const calls = membership.findLink(incarnation);
    return calls === undefined ? undefined : {incarnation, calls};
  };
  return {
    owner: sessions.owner,
    self: context.incarnation,
    announceLeaving: () => {
      readiness.markLeaving();
      return membership.leave(readClock());
    },
    chooseSuccessor: (tried, now) => {
      const preferred = membership.chooseSuccessor(now)?.incarnation;
      const others = membership
        .linkedMembers()
        .map(({member}) => member.incarnation);
      const candidates =
        preferred === undefined ? others : [preferred, ...others];
      const next = candidates.find(each => !tried.has(each));
      return next === undefined ? undefined : findSuccessor(next);
    },
    announceSuccessor: successor =>
      membership.announceSuccessor(successor, readClock()),
    countOpenRequests: () => readiness.openRequests,
    logger: context.logs.forPart(LogPart.Entry),
  };
}
