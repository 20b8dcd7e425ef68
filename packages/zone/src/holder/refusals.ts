/** Answers to jobs and tasks that are refused on arrival. */
import {RefusalReason} from '@goldcrestpier/dispatch';
import type {JobAnswer} from '../protocol/index.js';

/** Delay after which a caller refused by a busy holder may retry, in ms. */
const BUSY_RETRY_AFTER_MS = 1_000;

/** Refuses a job for which a busy holder has neither a record nor a run. */
export const busyRefusal = {
  kind: 'refused',
  reason: RefusalReason.HolderBusy,
  retryAfterMs: BUSY_RETRY_AFTER_MS,
} as const;

/** The same refusal as a resolved promise. */
export const busyAnswer: Promise<JobAnswer> = Promise.resolve(busyRefusal);

/** Refuses a holder of another zone that has been replaced there. */
export const outdatedRefusal = {
  kind: 'refused',
  reason: RefusalReason.Outdated,
  retryAfterMs: 0,
} as const;
