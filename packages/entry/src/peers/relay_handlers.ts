/** Handles requests that peers relay to this instance as owner or successor. */
import type {AdoptedSessions, JobOwner} from '@goldcrestpier/jobs';
import {
  RelayAnswerKind,
  type HandOver,
  type JobQuery,
  type PeerHandlers,
  type RelayAnswer,
  type SessionQuery,
  type Submission,
} from '@goldcrestpier/peers';
import type {Failure, JobAnswer} from '@goldcrestpier/protocol';
import {readClock, type Logger, type Millis} from '@goldcrestpier/runtime';
import {Ok, type Result} from 'ts-results-es';
import type {Wait} from '../gateway/gateway.js';
import {waitForAnswer} from '../gateway/wait_for_end.js';

/** Handlers of the calls of the peer protocol that concern sessions. */
export type RelayHandlers = Pick<
  PeerHandlers,
  'submit' | 'read' | 'cancel' | 'endSession' | 'handOver'
>;

/** Dependencies of the handlers. */
export interface RelayHandlersOptions {
  readonly owner: JobOwner;
  readonly adopted: AdoptedSessions;
  readonly logger: Logger;
}

/** Creates the handlers of relayed requests. */
export function createRelayHandlers(
  options: RelayHandlersOptions,
): RelayHandlers {
  const {owner, adopted, logger} = options;
  return {
    submit: message => handleSubmit(options, message, readClock()),
    read: message => handleRead(options, message, readClock()),
    cancel({session, key}: JobQuery) {
      if (adopted.has(session)) {
        return Promise.resolve(toRelayAnswer(adopted.read(session, key)));
      }
      const job = owner.cancel(session, key, readClock());
      const answer = job.map(record => record.toAnswer());
      return Promise.resolve(toRelayAnswer(answer));
    },
    endSession({session}: SessionQuery) {
      if (adopted.has(session)) {
        adopted.end(session);
        return Promise.resolve({kind: RelayAnswerKind.Ended});
      }
      const ended = owner.endSession(session, readClock());
      return Promise.resolve(
        ended.isOk()
          ? {kind: RelayAnswerKind.Ended}
          : {kind: RelayAnswerKind.Failure, failure: ended.error},
      );
    },
    handOver({from, sessions}: HandOver) {
      adopted.adopt(sessions, readClock());
      logger.info('took over sessions from a peer', {
        from,
        sessions: sessions.length,
      });
      return Promise.resolve();
    },
  };
}

async function handleSubmit(
  {owner, adopted}: RelayHandlersOptions,
  message: Submission,
  now: Millis,
): Promise<RelayAnswer> {
  const {session, key, attempt, job, ownerClock, waitMs} = message;
  if (adopted.has(session)) {
    return toRelayAnswer(adopted.submit(session, key, attempt, job));
  }
  // A clock reading in the future is invalid, so the age is unknown and the
  // submission must be refused as too old.
  const ageMs = ownerClock > now ? Infinity : now - ownerClock;
  const accepted = owner.submit({session, key, attempt, job, ageMs}, now);
  if (accepted.isErr()) return toRelayAnswer(accepted);
  return toRelayAnswer(
    Ok(await waitForAnswer(accepted.value, createWait(waitMs))),
  );
}

async function handleRead(
  {owner, adopted}: RelayHandlersOptions,
  {session, key, waitMs}: JobQuery,
  now: Millis,
): Promise<RelayAnswer> {
  if (adopted.has(session)) return toRelayAnswer(adopted.read(session, key));
  const job = owner.read(session, key, now);
  if (job.isErr()) return toRelayAnswer(job);
  return toRelayAnswer(Ok(await waitForAnswer(job.value, createWait(waitMs))));
}

function createWait(ms: Millis): Wait {
  return {ms, signal: new AbortController().signal};
}

function toRelayAnswer(reply: Result<JobAnswer, Failure>): RelayAnswer {
  if (reply.isErr()) {
    return {kind: RelayAnswerKind.Failure, failure: reply.error};
  }
  return {kind: RelayAnswerKind.Job, answer: reply.value};
}
