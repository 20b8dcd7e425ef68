/**
 * How long a job waits for its zone to have a holder. A job that could only end
 * late is refused at once, so that its caller can go elsewhere: after a power
 * failure, all callers of a zone return before it has a holder.
 */
import {findLongestChain, type Job} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';

/** Longest time that a job waits for a holder, in ms. */
const MAX_HOLDER_WAIT_MS = 1_000;

/** Returns the latest time at which a holder can still end the job when due. */
export function findHolderWaitEnd(job: Job): Millis {
  const {arrivedAt, stretch, targetMs, steps} = job;
  const idealMs = findLongestChain(steps, ({estimateMs}) => estimateMs);
  const slackMs = (stretch - 1) * idealMs + targetMs;
  return arrivedAt + Math.min(slackMs, MAX_HOLDER_WAIT_MS);
}
