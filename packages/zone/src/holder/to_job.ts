/** Turns the durations of a message into times of this process. */
import {formatTaskName, type Job} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobSubmission, Lending} from '../protocol/index.js';

/** A job as it goes to another process: durations in place of times. */
export function toSubmission(
  {
    arrivedAt,
    deadlineAt,
    steps,
    delegated: _lent,
    delegatedBy: _by,
    ...rest
  }: Job,
  ownerId: string,
  isResumed: boolean,
  now: Millis,
): JobSubmission {
  return {
    ...rest,
    steps: steps.map(step => ({...step, after: [...step.after]})),
    ownerId,
    isResumed,
    ageMs: now - arrivedAt,
    remainingMs: deadlineAt - now,
  };
}

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

/** The record's id of a task that another zone lends. */
export function formatLent(homeZone: string, task: string): string {
  return `${task}@${homeZone}`;
}

/** A lent task as a job of its own, which fails or is lost with its one run. */
export function toLentJob(message: Lending, now: Millis): Job {
  const {homeZone, step, index, run} = message;
  const whole = toJob(message.job, now);
  const name = {jobId: whole.id, step, index};
  const id = formatLent(homeZone, formatTaskName(name));
  return {
    ...whole,
    id,
    maxAttempts: 1,
    delegated: {name, run},
    delegatedBy: homeZone,
  };
}
