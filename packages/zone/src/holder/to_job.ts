/** Turns the durations of a message into times of this process. */
import type {Job} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobSubmission} from '../protocol/index.js';

/** The job of a submission that has just come. */
export function toJob(message: JobSubmission, now: Millis): Job {
  const {ageMs, remainingMs} = message;
  return {
    id: message.id,
    queue: message.queue,
    service: message.service,
    priority: message.priority,
    maxAttempts: message.maxAttempts,
    stretch: message.stretch,
    targetMs: message.targetMs,
    payload: message.payload,
    steps: message.steps,
    arrivedAt: now - ageMs,
    deadlineAt: now + remainingMs,
  };
}
