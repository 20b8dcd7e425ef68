/**
 * Converts between jobs and messages. Jobs have times of the local clock,
 * messages have durations, as instances don't share a clock.
 */
import {formatTaskName, type Job} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobSubmission, TaskDelegation} from '../protocol/index.js';

/** Converts a job to a message, with durations in place of clock times. */
export function toSubmission(
  {
    arrivedAt,
    deadlineAt,
    steps,
    delegated: _delegated,
    delegatedBy: _delegatedBy,
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

/** Converts a submission that has just arrived to a job. */
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

/** Formats the record id of a task that another zone delegates. */
export function formatDelegatedTaskId(homeZone: string, task: string): string {
  return `${task}@${homeZone}`;
}

/** Converts a delegated task to a separate job with a single attempt. */
export function toDelegatedJob(message: TaskDelegation, now: Millis): Job {
  const {homeZone, step, index, run} = message;
  const submitted = toJob(message.job, now);
  const name = {jobId: submitted.id, step, index};
  const id = formatDelegatedTaskId(homeZone, formatTaskName(name));
  return {
    ...submitted,
    id,
    maxAttempts: 1,
    delegated: {name, run},
    delegatedBy: homeZone,
  };
}
