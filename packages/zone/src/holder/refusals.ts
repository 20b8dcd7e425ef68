/** Answers to jobs and tasks that are refused on arrival. */
import {RefusalReason} from '@goldcrestpier/dispatch';
import type {JobAnswer} from '../protocol/index.js';

/** Retry delay for a job that an overloaded holder refused, in ms. */
const BUSY_RETRY_AFTER_MS = 1_000;

/** Refuses a job of which an overloaded holder has no record and no run. */
export const busyRefusal = {
  kind: 'refused',
  reason: RefusalReason.HolderBusy,
  retryAfterMs: BUSY_RETRY_AFTER_MS,
} as const;

/** The same refusal as a resolved promise. */
export const busyAnswer: Promise<JobAnswer> = Promise.resolve(busyRefusal);

/** Refuses a recalled task or one from a former holder of another zone. */
export const outdatedRefusal = {
  kind: 'refused',
  reason: RefusalReason.Outdated,
  retryAfterMs: 0,
} as const;

/** The answer of an instance that is not the holder any more. */
export const notHolderAnswer: Promise<JobAnswer> = Promise.resolve({
  kind: 'not_holder',
  mayHaveStarted: false,
});
