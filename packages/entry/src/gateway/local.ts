/** Serves the sessions that this incarnation owns. */
import type {JobOwner} from '@goldcrestpier/jobs';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import type {CallerSubmission, Gateway, JobReply} from './types.js';
import {awaitAnswer} from './wait.js';

/** Creates a gateway without peers. */
export function createLocalGateway(owner: JobOwner): Gateway {
  return {
    openSession: now => owner.openSession(now),
    endSession: session =>
      Promise.resolve(owner.endSession(session, readClock())),
    submit: (submission, receivedAt) =>
      submitLocally(owner, submission, receivedAt),
    async read(session, key, wait) {
      const job = owner.read(session, key, readClock());
      return job.isErr() ? job : Ok(await awaitAnswer(job.value, wait));
    },
    cancel(session, key) {
      const job = owner.cancel(session, key, readClock());
      return Promise.resolve(job.map(record => record.toAnswer()));
    },
    submitPlain: () => Promise.resolve(refusePlain()),
  };
}

/** Submits to this incarnation's own owner. */
export async function submitLocally(
  owner: JobOwner,
  submission: CallerSubmission,
  receivedAt: Millis,
): Promise<JobReply> {
  const now = readClock();
  const {session, key, attempt, job, wait} = submission;
  const ageMs = now - receivedAt;
  const accepted = owner.submit({session, key, attempt, job, ageMs}, now);
  if (accepted.isErr()) return accepted;
  return Ok(await awaitAnswer(accepted.value, wait));
}

function refusePlain(): JobReply {
  const reason = 'it is not connected';
  return Err(createFailure(FailureCode.PlatformUnavailable, {reason}));
}
